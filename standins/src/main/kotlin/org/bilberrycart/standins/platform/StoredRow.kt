package org.bilberrycart.standins.platform

import kotlin.time.Duration

/** A row that the stand-in holds until [expiresAt]; null keeps it for good. */
data class StoredRow(val value: String, val version: Long, val expiresAt: Duration? = null) {
    /** Whether the row is there at [now]. */
    fun isLive(now: Duration): Boolean = expiresAt == null || now < expiresAt
}
