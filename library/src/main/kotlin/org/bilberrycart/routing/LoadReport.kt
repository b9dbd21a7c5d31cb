package org.bilberrycart.routing

import kotlinx.serialization.Serializable

/**
 * The load of an upstream, as it reports it.
 *
 * @property slots how many requests it can run at once; 0 if it does not say.
 * @property running the number of requests that hold a slot.
 * @property queued the number of requests that wait for a slot.
 * @property incarnation a number that grows by one at each start of the upstream.
 * @property leaving whether the upstream wants no new work because it is about to stop.
 */
@Serializable
public data class LoadReport(
    val slots: Int,
    val running: Int,
    val queued: Int,
    val incarnation: Long = 0,
    val leaving: Boolean = false,
)
