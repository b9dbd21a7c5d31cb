package org.bilberrycart.pipeline

import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * A monotonic clock that returns the time since it was created.
 *
 * A [Filter] receives the time as an argument and never reads a clock. Tests create the clock from
 * a `TestTimeSource`. Wall clocks of different VMs are never compared.
 */
public class Clock(source: TimeSource = TimeSource.Monotonic) {
    private val origin = source.markNow()

    /** Returns the time since this clock was created. */
    public fun now(): Duration = origin.elapsedNow()
}
