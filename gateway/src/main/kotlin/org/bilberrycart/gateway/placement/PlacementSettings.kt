package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The limits by which placement decides.
 *
 * @property repeatWindow the span over which the repeat budget counts.
 * @property repeatRatio repeats for each first sending.
 * @property repeatSlack repeats beyond the ratio, in a window, that all nodes share.
 * @property streamSilence how long a stream may be silent before its upstream is probed.
 * @property startSilence how long an upstream may be silent before the first event.
 * @property streamStall how long a stream may stall at an upstream that answers probes.
 * @property startStall the same before the first event, as a share of the objective.
 * @property probeTimeout how long a probe may take.
 * @property probeInterval the least time between two probes of one upstream.
 * @property hedgeShare the share of the objective after which a second attempt is made.
 * @property firstDown how long an upstream gets no work after its first loss; doubles with each.
 * @property longestDown the longest such time.
 * @property waitShare the share of the objective that a call waits for an upstream.
 */
public data class PlacementSettings(
    val repeatWindow: Duration = 10.seconds,
    val repeatRatio: Double = 0.6,
    val repeatSlack: Double = 150.0,
    val streamSilence: Duration = 220.milliseconds,
    val startSilence: Duration = 400.milliseconds,
    val streamStall: Duration = 1500.milliseconds,
    val startStall: Double = 2.0,
    val probeTimeout: Duration = 150.milliseconds,
    val probeInterval: Duration = 300.milliseconds,
    val hedgeShare: Double = 0.5,
    val firstDown: Duration = 200.milliseconds,
    val longestDown: Duration = 800.milliseconds,
    val waitShare: Double = 0.9,
) {
    /** Returns this node's part of the shared slack among [nodes], some of them not yet heard. */
    internal fun slack(nodes: Int?): Double =
        repeatSlack / (UNHEARD_FACTOR * maxOf(nodes ?: UNKNOWN_NODES, FEWEST_NODES))

    private companion object {
        /** Nodes may have been replaced without a word. */
        const val UNHEARD_FACTOR = 2
        const val FEWEST_NODES = 4
        const val UNKNOWN_NODES = 32
    }
}
