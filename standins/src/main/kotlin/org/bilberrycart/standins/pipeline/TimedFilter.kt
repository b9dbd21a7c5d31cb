package org.bilberrycart.standins.pipeline

import kotlin.time.Duration
import org.bilberrycart.pipeline.Filter

/** A filter that also has work at known times, such as the next step of a batch. */
interface TimedFilter<S, E, A> : Filter<S, E, A> {
    /** The event that tells the filter that its time has come. */
    val tick: E

    /** Returns when [state] needs the next [tick], or null if only an event can change it. */
    fun nextTickAt(state: S): Duration?
}
