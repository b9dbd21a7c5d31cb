package org.bilberrycart.timer

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock
import kotlin.time.Duration
import org.bilberrycart.pipeline.Ring

/**
 * The timer thread, which offers a tick to each of its [targets] once in each [period].
 *
 * A tick that the full ring of a target refuses is not repeated; the target gets the next one.
 */
public class Ticker(private val period: Duration, private val targets: List<Target<*>>) :
    AutoCloseable {
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
        while (!awaitStop()) targets.forEach { it.fire() }
    }

    private fun awaitStop(): Boolean = lock.withLock {
        var left = period.inWholeNanoseconds
        while (!isClosed && left > 0) left = stopped.awaitNanos(left)
        isClosed
    }
}
