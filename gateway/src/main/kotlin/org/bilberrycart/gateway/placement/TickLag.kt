package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * How late this node itself is, by the gaps between the ticks that placement handles.
 *
 * A node that is short of processor time reads answers late. It must not take its own delay for the
 * silence of an upstream.
 *
 * @property lastTickAt when the last tick was handled; null if no call was in progress then, as
 *   ticks are rare without calls.
 * @property lag the longest recent gap between two ticks, less the regular one; fades in a second.
 */
public data class TickLag(val lastTickAt: Duration? = null, val lag: Duration = Duration.ZERO) {
    /** Returns the lag after a tick at [now]. */
    internal fun after(now: Duration, hasCalls: Boolean): TickLag {
        val gap = lastTickAt?.let { now - it - REGULAR_GAP } ?: Duration.ZERO
        return TickLag(
            lastTickAt = now.takeIf { hasCalls },
            lag = maxOf(gap, lag * FADING_PER_TICK).takeIf { it >= MIN_LAG } ?: Duration.ZERO,
        )
    }

    private companion object {
        val REGULAR_GAP = 20.milliseconds

        /** Gaps up to this are usual on a machine with enough processor time. */
        val MIN_LAG = 30.milliseconds
        const val FADING_PER_TICK = 0.95
    }
}
