package org.bilberrycart.timer

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.thread
import kotlin.concurrent.withLock
import kotlin.time.Duration
import org.bilberrycart.pipeline.Ring

/**
 * The timer duty: offers a tick to each of its targets once in each [period].
 *
 * A target whose ring is full refuses the tick and gets the next one.
 */
public class Ticker(private val period: Duration, private val targets: List<Target<*>>) :
    AutoCloseable {
    /** A [ring] that gets what [tick] returns as an event. */
    public class Target<T : Any>(private val ring: Ring<T>, private val tick: () -> T) {
        /** Offers the tick; returns whether the ring had room. */
        public fun fire(): Boolean = ring.offer(tick())
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
