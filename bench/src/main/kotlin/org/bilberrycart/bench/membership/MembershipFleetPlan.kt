package org.bilberrycart.bench.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.membership.MembershipSettings

/**
 * The parameters of one emulated fleet.
 *
 * @property members the number of nodes.
 * @property lossShare the share of messages that are lost.
 * @property meanPauseInterval the mean time between two pauses of one node; null for none.
 * @property pauseDuration the duration of a pause.
 * @property latency the mean latency of a message.
 * @property linkIdleTimeout the time without messages after which a link is closed.
 */
data class MembershipFleetPlan(
    val members: Int,
    val seed: Long = 1,
    val lossShare: Double = 0.0,
    val meanPauseInterval: Duration? = null,
    val pauseDuration: Duration = 1.seconds,
    val latency: Duration = 2.milliseconds,
    val linkIdleTimeout: Duration = 5.seconds,
    val settings: MembershipSettings = MembershipSettings(),
)
