package org.bilberrycart.gateway.peers

import kotlin.time.Duration
import org.bilberrycart.gateway.model.RetryUse

/** The retries that a departed peer last reported; they count against the budget [until] then. */
public data class DepartedRetries(val retries: Map<String, RetryUse>, val until: Duration)
