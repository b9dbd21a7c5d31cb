package org.bilberrycart.bench.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.membership.MembershipSettings

/**
 * One emulated fleet.
 *
 * @property loss the share of messages that are lost.
 * @property pauseEvery the mean time between two pauses of one node; null for none.
 * @property pauseLength how long a pause lasts.
 */
data class FleetPlan(
    val members: Int,
    val seed: Long = 1,
    val loss: Double = 0.0,
    val pauseEvery: Duration? = null,
    val pauseLength: Duration = 1.seconds,
    val latency: Duration = 2.milliseconds,
    val linkIdle: Duration = 5.seconds,
    val settings: MembershipSettings = MembershipSettings(),
)
