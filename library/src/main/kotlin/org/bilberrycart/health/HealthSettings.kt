package org.bilberrycart.health

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * How often upstreams are asked for their load.
 *
 * The number of polls a second does not grow with the fleet: with more upstreams each is asked less
 * often, and the node's own work in flight corrects what it knows.
 *
 * @property pollGap the shortest time between two polls of this node.
 * @property pollPeriod the shortest time between two polls of one upstream.
 */
public data class HealthSettings(
    val pollGap: Duration = 100.milliseconds,
    val pollPeriod: Duration = 1.seconds,
)
