package org.bilberrycart.pipeline

import kotlin.concurrent.thread
import kotlin.time.Duration
import org.slf4j.LoggerFactory

/**
 * One thread that takes events from its [ring], steps its [filter] and carries out the actions.
 *
 * It takes all that the ring holds at one wake-up. The state never leaves the thread, except as the
 * immutable [snapshot]. A failing event is reported to [onFailure] and leaves the state unchanged.
 *
 * @property name the name of the thread and of the counters.
 */
public class Duty<S : Any, E : Any, A : Any>(
    public val name: String,
    public val ring: Ring<E>,
    initial: S,
    private val filter: Filter<S, E, A>,
    private val clock: Clock,
    private val sink: Sink<A>,
    private val onFailure: (event: E, cause: Exception) -> Unit = { _, _ -> },
) : AutoCloseable {
    @Volatile private var state: S = initial
    private val worker = thread(start = false, name = name, isDaemon = true) { run() }

    /** The state after the last finished step; an immutable value that any thread may read. */
    public val snapshot: S
        get() = state

    /** Starts the thread. */
    public fun start(): Duty<S, E, A> = apply { worker.start() }

    /** Closes the ring and waits until the events it held are done. */
    override fun close() {
        ring.close()
        if (worker.isAlive && Thread.currentThread() != worker) worker.join(CLOSE_WAIT_MILLIS)
    }

    /**
     * Steps at most [limit] events that the ring holds, on the calling thread.
     *
     * Only for a duty that is not started: tests and randomised runs choose the order of the steps.
     */
    public fun stepHeld(limit: Int = 1) {
        check(!worker.isAlive) { "duty $name is started and steps itself" }
        ring.takeAll(limit, wait = Duration.ZERO).forEach(::handle)
    }

    private fun run() {
        while (!ring.isDone()) ring.takeAll().forEach(::handle)
    }

    private fun handle(event: E) {
        try {
            val step = filter.step(state, event, clock.now())
            state = step.state
            step.actions.forEach(sink::accept)
        } catch (e: Exception) {
            log.error("event=duty_step_failed duty={} cause={}", name, e.toString(), e)
            onFailure(event, e)
        }
    }

    private companion object {
        const val CLOSE_WAIT_MILLIS = 5_000L
        val log = LoggerFactory.getLogger(Duty::class.java)
    }
}
