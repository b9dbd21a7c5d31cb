package org.bilberrycart.standins.pipeline

import kotlin.concurrent.thread
import kotlin.time.Duration
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.pipeline.Sink
import org.slf4j.LoggerFactory

/**
 * A thread that steps a [TimedFilter] with the events of its [ring] and with ticks.
 *
 * Between events the thread waits at the ring until the filter's next tick; it never spins.
 */
class TimedDuty<S : Any, E : Any, A : Any>(
    name: String,
    val ring: Ring<E>,
    initial: S,
    private val filter: TimedFilter<S, E, A>,
    private val clock: Clock,
    private val sink: Sink<A>,
) : AutoCloseable {
    @Volatile private var state: S = initial
    private val worker = thread(start = false, name = name, isDaemon = true) { run() }

    /** The state after the last finished step; an immutable value that any thread may read. */
    val snapshot: S
        get() = state

    /** Starts the thread. */
    fun start(): TimedDuty<S, E, A> = apply { worker.start() }

    /** Closes the ring and waits up to 5 seconds until the remaining events are handled. */
    override fun close() {
        ring.close()
        if (worker.isAlive && Thread.currentThread() != worker) worker.join(CLOSE_WAIT_MILLIS)
    }

    private fun run() {
        while (!ring.isDone()) {
            ring.takeAll(wait = timeUntilTick()).forEach(::handle)
            if (timeUntilTick() <= Duration.ZERO) handle(filter.tick)
        }
    }

    private fun timeUntilTick(): Duration {
        val at = filter.nextTickAt(state) ?: return Duration.INFINITE
        return (at - clock.now()).coerceAtLeast(Duration.ZERO)
    }

    private fun handle(event: E) {
        try {
            val step = filter.step(state, event, clock.now())
            state = step.state
            step.actions.forEach(sink::accept)
        } catch (e: Exception) {
            log.error("event=standin_step_failed cause={}", e.toString(), e)
        }
    }

    private companion object {
        const val CLOSE_WAIT_MILLIS = 5_000L
        val log = LoggerFactory.getLogger(TimedDuty::class.java)
    }
}
