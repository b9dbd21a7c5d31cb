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
 * One run of a load against a target.
 *
 * @property writes when the engines wrote each token; it must observe them for transit and resume
 *   times to be measured.
 */
class LoadRun(
    private val arrivals: List<Arrival>,
    private val target: CallerTarget,
    private val caller: Caller,
    private val meter: Meter,
    private val writes: WriteLog,
) {
    private val open = AtomicReference<PersistentMap<Int, Answer>>(persistentMapOf())
    private val totals = AtomicReference(LoadTotals(offered = arrivals.size))
    private val delivered = LongAdder()
    private val left = CountDownLatch(arrivals.size)

    @Volatile private var startedAt = 0L

    /** The tokens that callers received so far. */
    val deliveredTokens: Long
        get() = delivered.sum()

    /** How many requests are open now. */
    val openCount: Int
        get() = open.get().size

    /** Sends all arrivals at their times, waits up to [patience] for the last answers. */
    fun run(patience: Duration): LoadTotals {
        startedAt = System.nanoTime()
        arrivals.forEach(::sendAtTime)
        left.await(patience.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        return totals.get().copy(unanswered = left.count.toInt())
    }

    /** Notes that engine number [engine] is lost now to the answers that it writes. */
    fun engineLost(engine: Int) {
        val now = System.nanoTime()
        open.get().values.forEach { it.engineLost(engine, now) }
    }

    private fun sendAtTime(arrival: Arrival) {
        val wait = arrival.at.inWholeNanoseconds - (System.nanoTime() - startedAt)
        if (wait > 0) TimeUnit.NANOSECONDS.sleep(wait)
        val answer = Answer(arrival)
        open.updateAndGet { it.put(arrival.number, answer) }
        caller.start(target, arrival, answer)
    }

    private fun over(arrival: Arrival, count: (LoadTotals) -> LoadTotals) {
        open.updateAndGet { it.remove(arrival.number) }
        writes.close(arrival)
        totals.updateAndGet(count)
        left.countDown()
    }

    /** What the caller of one arrival receives. */
    private inner class Answer(private val arrival: Arrival) : CallerListener {
        private val written = writes.open(arrival)
        private val sentAt = System.nanoTime()
        private var progress = AnswerProgress(arrival.source, arrival.maxTokens)

        @Volatile private var lastAt = 0L

        @Volatile private var lostAt = 0L

        override fun token(index: Int, text: String, now: Long) {
            progress = progress.take(index, text)
            delivered.increment()
            if (lastAt == 0L) {
                sample(Measure.FIRST_TOKEN, now, now - sentAt)
                if (!arrival.isSurging) sample(Measure.STEADY_FIRST_TOKEN, now, now - sentAt)
            } else {
                sample(Measure.INTER_TOKEN, now, now - lastAt)
            }
            val writtenAt = written.nanosOf(index)
            if (writtenAt != 0L) sampleWrite(writtenAt, now)
            lastAt = now
        }

        override fun finished() {
            progress = progress.finish()
            val isLate = System.nanoTime() - sentAt > arrival.deadline.inWholeNanoseconds
            over(arrival) { it.ended(progress, isLate) }
        }

        override fun failed(reason: String) {
            val name = Caller.nameOfFailure(reason)
            over(arrival) { it.failed(progress, name) }
        }

        fun engineLost(engine: Int, now: Long) {
            if (written.engine == engine && lastAt != 0L && lostAt == 0L) lostAt = now
        }

        private fun sampleWrite(writtenAt: Long, now: Long) {
            sample(Measure.TRANSIT, now, now - writtenAt)
            if (lostAt == 0L || writtenAt < lostAt) return
            sample(Measure.RESUME, now, now - lastAt)
            lostAt = 0
        }

        private fun sample(measure: Measure, now: Long, nanos: Long) = meter.sample(
            measure,
            arrival.requestClass,
            (now - startedAt).nanoseconds,
            nanos.nanoseconds,
        )
    }
}
