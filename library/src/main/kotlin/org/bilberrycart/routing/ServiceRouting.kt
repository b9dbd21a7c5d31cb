package org.bilberrycart.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable

/**
 * Settings for how the requests of one service are assigned to upstreams.
 *
 * @property policy how an upstream is selected among those that have room.
 * @property shortReserve the share of the slots that long drafts leave to the other classes.
 * @property resumeReserve the share of the slots that new work leaves to resumed generations.
 * @property spillAt the load, as a share of the slots, from which on upstreams that are not
 * preferred or are in other data centres are considered too.
 * @property retryShare how many retries are allowed for each first attempt, on average.
 * @property resumeWait how long a resumed generation waits for an engine of its model to appear.
 * @property queueLimit how many placements may wait for a slot in one pool.
 */
@Serializable
public data class ServiceRouting(
    val policy: RoutingPolicy = RoutingPolicy.LeastOfRandom(),
    val shortReserve: Double = 0.2,
    val resumeReserve: Double = 0.05,
    val spillAt: Double = 0.8,
    val retryShare: Double = 0.2,
    val resumeWait: Duration = 2.seconds,
    val queueLimit: Int = 1_024,
) {
    init {
        require(shortReserve in 0.0..1.0) { "shortReserve must be from 0 to 1, got $shortReserve" }
        require(resumeReserve in 0.0..1.0) {
            "resumeReserve must be from 0 to 1, got $resumeReserve"
        }
        require(spillAt >= 0.0) { "spillAt must not be negative, got $spillAt" }
        require(retryShare >= 0.0) { "retryShare must not be negative, got $retryShare" }
        require(queueLimit >= 0) { "queueLimit must not be negative, got $queueLimit" }
    }
}
