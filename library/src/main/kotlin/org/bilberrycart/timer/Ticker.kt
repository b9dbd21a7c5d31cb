package org.bilberrycart.timer

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock
import kotlin.time.Duration
import org.bilberrycart.pipeline.Ring
import org.slf4j.LoggerFactory

/**
 * The timer thread, which offers a tick to each of its [targets] once in each [period].
 *
 * A tick that the full ring of a target refuses is not repeated; the target gets the next one. A
 * target that throws an exception harms neither the others nor its next tick.
 *
 * @property onEnded called if an error ends the thread, so that no later tick is offered.
 */
public class Ticker(
    private val period: Duration,
    private val targets: List<Target<*>>,
    private val onEnded: (cause: Throwable) -> Unit = {},
) : AutoCloseable {
    /**
     * A [ring] that receives the events that [tick] returns, in each period in which [isDue]
     * returns true. A duty with nothing to do is not woken that way.
     */
    public class Target<T : Any>(
        private val ring: Ring<T>,
        private val isDue: () -> Boolean = { true },
        private val tick: () -> T,
    ) {
        /** Offers one tick if it is due; returns whether the ring accepted it. */
        public fun fire(): Boolean = isDue() && ring.offer(tick())
    }

    private val lock = ReentrantLock()
    private val stopped = lock.newCondition()
    private var isClosed = false
    private val worker = thread(start = false, name = "timer", isDaemon = true) { run() }

    /** Starts the thread. */
    public fun start(): Ticker = apply { worker.start() }

    override fun close(): Unit = lock.withLock {
        isClosed = true
        stopped.signalAll()
    }

    private fun run() {
        try {
            while (!awaitStop()) targets.forEach(::fire)
        } catch (e: Throwable) {
            // Logging may fail as well, for want of memory.
            try {
                log.error("event=timer_ended cause={}", e.toString(), e)
            } finally {
                onEnded(e)
            }
            throw e
        }
    }

    private fun fire(target: Target<*>) {
        try {
            target.fire()
        } catch (e: Exception) {
            log.error("event=tick_failed cause={}", e.toString(), e)
        }
    }

    private fun awaitStop(): Boolean = lock.withLock {
        var left = period.inWholeNanoseconds
        while (!isClosed && left > 0) left = stopped.awaitNanos(left)
        isClosed
    }

    private companion object {
        val log = LoggerFactory.getLogger(Ticker::class.java)
    }
}
