package org.bilberrycart.gateway.discovery

import kotlin.time.Duration

/** A row that disappeared soon after the store recovered; it stays published until [until]. */
public data class RetainedRow(val row: StoreRow, val until: Duration)
