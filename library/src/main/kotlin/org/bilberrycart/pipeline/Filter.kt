package org.bilberrycart.pipeline

import kotlin.time.Duration

/**
 * The decision of one duty: a pure function without input or output.
 *
 * [S] is an immutable state, [E] a sealed event and [A] a sealed action. The same filter runs under
 * a [Duty], under a test clock and under a seeded random run.
 */
public fun interface Filter<S, E, A> {
    /** Decides on [event] in [state] at the monotonic time [now]. */
    public fun step(state: S, event: E, now: Duration): Step<S, A>
}
