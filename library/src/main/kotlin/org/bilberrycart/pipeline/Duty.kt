package org.bilberrycart.pipeline

import kotlin.concurrent.thread
import kotlin.time.Duration
import org.slf4j.LoggerFactory

/**
 * One thread that takes events from [ring], passes each to [filter] and its actions to [sink].
 *
 * At each wake-up it takes all events that the ring holds. Only this thread changes the state;
 * others read it as the immutable [snapshot].
 *
 * If the filter fails, the state stays unchanged; if an action fails, the further actions of its
 * step are still executed. Both are reported to [onFailure], and the thread goes on. That holds for
 * exceptions and for a stack overflow, which input that is nested deep can cause. Any other error
 * ends the thread.
 *
 * @property name the name of the thread, also used in metrics.
 * @property onEnded called if an error ends the thread, so that no later event is handled.
 */
public class Duty<S : Any, E : Any, A : Any>(
    public val name: String,
    public val ring: Ring<E>,
    initial: S,
    private val filter: Filter<S, E, A>,
    private val clock: Clock,
    private val sink: Sink<A>,
    private val onFailure: (event: E, cause: Throwable) -> Unit = { _, _ -> },
    private val onEnded: (cause: Throwable) -> Unit = {},
) : AutoCloseable {
    @Volatile private var state: S = initial
    private val worker = thread(start = false, name = name, isDaemon = true) { run() }

    /** The state after the last completed step; an immutable value that any thread may read. */
    public val snapshot: S
        get() = state

    /** Starts the thread. */
    public fun start(): Duty<S, E, A> = apply { worker.start() }

    /** Closes the ring and waits up to 5 s until the events that it holds are handled. */
    override fun close() {
        ring.close()
        if (worker.isAlive && Thread.currentThread() != worker) worker.join(CLOSE_WAIT_MILLIS)
    }

    /**
     * Handles at most [limit] events that the ring holds, on the calling thread.
     *
     * Only for a duty that is not started, so that tests and randomised runs choose the order in
     * which events are handled.
     *
     * @throws IllegalStateException if the duty is started.
     */
    public fun stepHeld(limit: Int = 1) {
        check(!worker.isAlive) { "duty $name is started, so its own thread handles the events" }
        ring.takeAll(limit, wait = Duration.ZERO).forEach(::handle)
    }

    private fun run() {
        try {
            while (!ring.isDone()) ring.takeAll().forEach(::handle)
        } catch (e: Throwable) {
            // Logging may fail as well, for want of memory.
            try {
                log.error("event=duty_ended duty={} cause={}", name, e.toString(), e)
            } finally {
                onEnded(e)
            }
            throw e
        }
    }

    private fun handle(event: E) {
        val step = attempt(event) { filter.step(state, event, clock.now()) } ?: return
        state = step.state
        step.actions.forEach { action -> attempt(event) { sink.accept(action) } }
    }

    /** Returns the result of [run], or null if it fails in a way that the duty survives. */
    private fun <R : Any> attempt(event: E, run: () -> R): R? = try {
        run()
    } catch (e: Exception) {
        failed(event, e)
    } catch (e: StackOverflowError) {
        failed(event, e)
    }

    private fun <R> failed(event: E, cause: Throwable): R? {
        log.error("event=duty_step_failed duty={} cause={}", name, cause.toString(), cause)
        onFailure(event, cause)
        return null
    }

    private companion object {
        const val CLOSE_WAIT_MILLIS = 5_000L
        val log = LoggerFactory.getLogger(Duty::class.java)
    }
}
