package org.bilberrycart.gateway.peers

import kotlin.time.Duration

/** The [crashes] that a departed peer last reported; they are known [until] then. */
public data class DepartedCrashes(val crashes: Map<Long, List<String>>, val until: Duration)
