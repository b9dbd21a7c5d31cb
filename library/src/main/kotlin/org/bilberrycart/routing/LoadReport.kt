package org.bilberrycart.routing

import kotlinx.serialization.Serializable

/**
 * The load of an upstream by its own word.
 *
 * @property running requests that hold a slot.
 * @property queued requests that wait for a slot.
 * @property incarnation rises by one at each start of the upstream.
 * @property leaving whether the upstream wants no new work.
 */
@Serializable
public data class LoadReport(
    val slots: Int,
    val running: Int,
    val queued: Int,
    val incarnation: Long = 0,
    val leaving: Boolean = false,
)
