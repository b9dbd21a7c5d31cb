package org.bilberrycart.bench.traffic

import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import java.util.concurrent.atomic.LongAdder
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * One run of a load against a target, with the latencies that its callers see.
 *
 * @property writes the times at which engines wrote tokens. Without its observers on the engines,
 *   transit and resume times are not measured.
 */
class LoadRun(
    private val arrivals: List<Arrival>,
    private val target: CallerTarget,
    private val caller: Caller,
    private val meter: Meter,
    private val writes: WriteLog,
) {
    private val openAnswers = AtomicReference<PersistentMap<Int, Answer>>(persistentMapOf())
    private val totals = AtomicReference(LoadTotals(offered = arrivals.size))
    private val deliveredCount = LongAdder()
    private val unfinished = CountDownLatch(arrivals.size)

    @Volatile private var startedAt = 0L

    /** The number of tokens that callers have received so far. */
    val deliveredTokens: Long
        get() = deliveredCount.sum()

    /** The number of requests that are open now. */
    val openCount: Int
        get() = openAnswers.get().size

    /** Sends each arrival at its time, then waits up to [answerTimeout] for the last answers. */
    fun run(answerTimeout: Duration): LoadTotals {
        startedAt = System.nanoTime()
        arrivals.forEach(::sendAtTime)
        unfinished.await(answerTimeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        return totals.get().copy(unanswered = unfinished.count.toInt())
    }

    /** Records the loss of [engine] for all answers that it is writing now. */
    fun engineLost(engine: Int) {
        val now = System.nanoTime()
        openAnswers.get().values.forEach { it.engineLost(engine, now) }
    }

    private fun sendAtTime(arrival: Arrival) {
        val wait = arrival.at.inWholeNanoseconds - (System.nanoTime() - startedAt)
        if (wait > 0) TimeUnit.NANOSECONDS.sleep(wait)
        val answer = Answer(arrival)
        openAnswers.updateAndGet { it.put(arrival.number, answer) }
        caller.start(target, arrival, answer)
    }

    private fun requestEnded(arrival: Arrival, count: (LoadTotals) -> LoadTotals) {
        openAnswers.updateAndGet { it.remove(arrival.number) }
        writes.close(arrival)
        totals.updateAndGet(count)
        unfinished.countDown()
    }

    /** Checks and measures the answer of one arrival. */
    private inner class Answer(private val arrival: Arrival) : CallerListener {
        private val written = writes.open(arrival)
        private val sentAt = System.nanoTime()
        private var progress = AnswerProgress(arrival.source, arrival.maxTokens)

        @Volatile private var lastTokenAt = 0L

        @Volatile private var lostAt = 0L

        override fun tokenArrived(index: Int, text: String, now: Long) {
            progress = progress.withToken(index, text)
            deliveredCount.increment()
            if (lastTokenAt == 0L) {
                sample(TrafficMeasure.FIRST_TOKEN, now, now - sentAt)
                if (!arrival.isSurging) sample(TrafficMeasure.STEADY_FIRST_TOKEN, now, now - sentAt)
            } else {
                sample(TrafficMeasure.INTER_TOKEN, now, now - lastTokenAt)
            }
            val writtenAt = written.writtenAtNanos(index)
            if (writtenAt != 0L) sampleTransitAndResume(writtenAt, now)
            lastTokenAt = now
        }

        override fun finished() {
            progress = progress.withEnd()
            val isLate = System.nanoTime() - sentAt > arrival.deadline.inWholeNanoseconds
            requestEnded(arrival) { it.withFinished(progress, isLate) }
        }

        override fun failed(reason: String) {
            val name = Caller.failureNameOf(reason)
            requestEnded(arrival) { it.withFailed(progress, name) }
        }

        fun engineLost(engine: Int, now: Long) {
            if (written.engine == engine && lastTokenAt != 0L && lostAt == 0L) lostAt = now
        }

        private fun sampleTransitAndResume(writtenAt: Long, now: Long) {
            sample(TrafficMeasure.TRANSIT, now, now - writtenAt)
            if (lostAt == 0L || writtenAt < lostAt) return
            sample(TrafficMeasure.RESUME, now, now - lastTokenAt)
            lostAt = 0
        }

        private fun sample(measure: TrafficMeasure, now: Long, nanos: Long) = meter.sample(
            measure,
            arrival.requestClass,
            (now - startedAt).nanoseconds,
            nanos.nanoseconds,
        )
    }
}
