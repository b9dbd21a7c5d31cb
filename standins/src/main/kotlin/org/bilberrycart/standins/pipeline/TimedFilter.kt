package org.bilberrycart.standins.pipeline

import kotlin.time.Duration
import org.bilberrycart.pipeline.Filter

/** A filter that also acts at known times, such as the end of a decode step. */
interface TimedFilter<S, E, A> : Filter<S, E, A> {
    /** The event that the filter receives when [nextTickAt] has passed. */
    val tick: E

    /** Returns when [state] needs the next [tick], or null if it needs none. */
    fun nextTickAt(state: S): Duration?
}
