package org.bilberrycart.suspect

import kotlin.time.Duration

/**
 * A request that was on upstreams that died without notice.
 *
 * @property deaths how many of them.
 * @property spreadDeaths how many of them the other nodes know of.
 * @property changedAt when the last of them died.
 * @property expiresAt when it is forgotten.
 */
public data class SuspectRecord(
    val deaths: Int,
    val spreadDeaths: Int,
    val changedAt: Duration,
    val expiresAt: Duration,
)
