package org.bilberrycart.pipeline

import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * A monotonic clock that reads as the time since the node started.
 *
 * Decisions receive [now] as an argument and never read a clock. Tests build it on a
 * `TestTimeSource`. Wall clocks of two VMs are never compared.
 */
public class Clock(source: TimeSource = TimeSource.Monotonic) {
    private val origin = source.markNow()

    /** Returns the time since this clock was made. */
    public fun now(): Duration = origin.elapsedNow()
}
