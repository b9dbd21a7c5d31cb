package org.bilberrycart.gateway.discovery

import kotlin.time.Duration

/** A row that vanished while the store was away; it counts until [until]. */
public data class LapsedRow(val row: StoreRow, val until: Duration)
