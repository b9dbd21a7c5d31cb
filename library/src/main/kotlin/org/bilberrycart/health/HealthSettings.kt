package org.bilberrycart.health

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The timing of the load polls.
 *
 * The number of polls per second does not grow with the fleet: with more upstreams each one is
 * polled less often, and the node adjusts the last known load by its own requests in flight.
 *
 * @property pollInterval the shortest time between two polls by this node.
 * @property upstreamPollInterval the shortest time between two polls of the same upstream.
 */
public data class HealthSettings(
    val pollInterval: Duration = 100.milliseconds,
    val upstreamPollInterval: Duration = 1.seconds,
)
