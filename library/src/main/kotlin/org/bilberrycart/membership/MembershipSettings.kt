package org.bilberrycart.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The timing and limits of the membership protocol.
 *
 * @property probeInterval the time between two probes by one node.
 * @property probeTimeout how long a direct probe may take before other members are asked to probe.
 * @property indirectTimeout how long the indirect probes may take before the member is suspected.
 * @property indirectProbes the number of members that are asked to probe.
 * @property suspicionIntervals the time in which a suspect may refute, in probe intervals; it is
 *   multiplied by log10 of the size of the fleet, but at least by one.
 * @property updatesPerMessage the largest number of records piggybacked on one message.
 * @property retransmissions how often one record is sent; multiplied by log2 of the size of the
 *   fleet.
 * @property reconnectInterval the time between attempts to connect to an address without a live
 *   member.
 * @property deadRetention how long dead members are remembered, so that the two sides of a healed
 *   partition find each other again.
 * @property tickInterval the expected time between ticks; a far longer gap means that this node was
 *   paused.
 */
@Serializable
public data class MembershipSettings(
    val probeInterval: Duration = 1.seconds,
    val probeTimeout: Duration = 300.milliseconds,
    val indirectTimeout: Duration = 500.milliseconds,
    val indirectProbes: Int = 3,
    val suspicionIntervals: Int = 3,
    val updatesPerMessage: Int = 6,
    val retransmissions: Int = 3,
    @SerialName("greetInterval") val reconnectInterval: Duration = 5.seconds,
    val deadRetention: Duration = 24.hours,
    @SerialName("tickPeriod") val tickInterval: Duration = 50.milliseconds,
) {
    /** A longer gap between ticks means that this node was paused, so no timeout is trusted. */
    public val pauseThreshold: Duration
        get() = probeTimeout
}
