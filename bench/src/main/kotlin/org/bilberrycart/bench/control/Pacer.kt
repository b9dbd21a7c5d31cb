package org.bilberrycart.bench.control

import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.pipeline.Clock

/** Calls a function at a constant rate, regardless of when earlier calls complete (open loop). */
class Pacer(private val perSecond: Double, private val length: Duration) {
    /** Calls [send] with the number of each call until the length is over; returns their count. */
    fun run(clock: Clock, send: (number: Int) -> Unit): Int {
        val start = clock.now()
        val count = (length / 1.seconds * perSecond).toInt()
        repeat(count) { number ->
            sleepUntil(clock, start + 1.seconds * number / perSecond)
            send(number)
        }
        return count
    }

    private fun sleepUntil(clock: Clock, at: Duration) {
        val left = at - clock.now()
        if (left.isPositive()) TimeUnit.NANOSECONDS.sleep(left.inWholeNanoseconds)
    }
}
