package org.bilberrycart.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable

/**
 * The timing and bounds of membership.
 *
 * @property probeInterval time between two probes by one node.
 * @property probeTimeout how long a direct probe may take before others are asked to probe.
 * @property indirectTimeout how long the indirect probes may take before suspicion.
 * @property indirectProbes how many members are asked to probe.
 * @property suspicionIntervals probe intervals in which a suspect may refute, times log10 of the
 *   fleet's size (at least one).
 * @property updatesPerMessage the largest number of claims that ride on one message.
 * @property retransmissions how often one claim is sent, times log2 of the fleet's size.
 * @property greetInterval time between attempts to reach an address that is not known as alive.
 * @property deadRetention how long the dead are remembered, so that a healed partition rejoins.
 * @property tickPeriod the wanted time between ticks; a far longer gap means this node was paused.
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
    val greetInterval: Duration = 5.seconds,
    val deadRetention: Duration = 24.hours,
    val tickPeriod: Duration = 50.milliseconds,
) {
    /** A gap between ticks over which this node counts as paused and trusts no timeout. */
    public val pauseGap: Duration
        get() = probeTimeout
}
