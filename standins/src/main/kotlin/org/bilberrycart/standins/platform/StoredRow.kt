package org.bilberrycart.standins.platform

import kotlin.time.Duration

/** A row that expires at [expiresAt]; null if it never expires. */
data class StoredRow(val value: String, val version: Long, val expiresAt: Duration? = null) {
    /** Whether the row has not expired at [now]. */
    fun isLive(now: Duration): Boolean = expiresAt == null || now < expiresAt
}
