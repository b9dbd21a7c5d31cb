package org.bilberrycart.pipeline

import kotlin.time.Duration

/**
 * The decision logic of one duty: a pure function without input or output.
 *
 * [S] is an immutable state, [E] a sealed event and [A] a sealed action. The same filter runs in a
 * [Duty], in tests with a test clock and in simulations with a seeded random order of events.
 */
public fun interface Filter<S, E, A> {
    /** Returns the next state and the actions for [event] in [state] at monotonic time [now]. */
    public fun step(state: S, event: E, now: Duration): Step<S, A>
}
