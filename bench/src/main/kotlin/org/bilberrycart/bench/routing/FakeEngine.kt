package org.bilberrycart.bench.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.Placement
import org.bilberrycart.routing.LoadReport

/** An attempt that an engine holds. */
internal data class Job(
    val node: Int,
    val placement: Placement,
    val prompt: String,
    val tokens: Int,
    val firstTokenAt: Duration = Duration.INFINITE,
    val interval: Duration = Duration.ZERO,
) {
    val attempt: AttemptId
        get() = placement.attempt

    val endsAt: Duration
        get() = firstTokenAt + interval * (tokens - 1)

    /** Returns how many tokens it has produced by [now]. */
    fun done(now: Duration): Int = if (now < firstTokenAt) {
        0
    } else {
        ((now - firstTokenAt) / interval).toInt().plus(1).coerceAtMost(tokens)
    }
}

/**
 * An engine with continuous batching under a test clock.
 *
 * The time between tokens grows with the batch that a job meets when it starts, up to twice that of
 * an empty engine. A prompt whose prefix is cached has a shorter prefill.
 *
 * @property queue jobs beyond the slots, the most urgent first.
 */
internal data class FakeEngine(
    val slots: Int,
    val cachedPrefixes: Int,
    val isAlive: Boolean = true,
    val incarnation: Long = 1,
    val running: PersistentMap<AttemptId, Job> = persistentMapOf(),
    val queue: PersistentList<Job> = persistentListOf(),
    val cache: PersistentList<String> = persistentListOf(),
) {
    val report: LoadReport
        get() = LoadReport(slots, running.size, queue.size, incarnation)

    fun enqueued(job: Job): FakeEngine {
        val priority = job.placement.request.requestClass.priority
        val found = queue.indexOfFirst { it.placement.request.requestClass.priority > priority }
        return copy(queue = queue.add(if (found < 0) queue.size else found, job))
    }

    /** Returns this engine with the next job started at [now], and that job if there is one. */
    fun startNext(now: Duration): Pair<FakeEngine, Job?> {
        val job = queue.firstOrNull()
        if (job == null || running.size >= slots) return this to null
        val isCached = job.prompt in cache && job.placement.attempt.number == 1
        val started = job.copy(
            firstTokenAt = now + if (isCached) CACHED_PREFILL else PREFILL,
            interval = EMPTY_INTERVAL * (1 + (running.size + 1) / slots.toDouble()),
        )
        val kept = cache.filter { it != job.prompt }.takeLast(cachedPrefixes - 1) + job.prompt
        val next = copy(
            running = running.put(job.attempt, started),
            queue = queue.removeAt(0),
            cache = kept.toPersistentList(),
        )
        return next to started
    }

    fun ended(attempt: AttemptId): FakeEngine = copy(running = running.remove(attempt))

    fun died(): FakeEngine = FakeEngine(
        slots,
        cachedPrefixes,
        isAlive = false,
        incarnation = incarnation + 1,
    )

    internal companion object {
        val PREFILL = 200.milliseconds
        val CACHED_PREFILL = 40.milliseconds
        val EMPTY_INTERVAL = 20.milliseconds

        /** The time between tokens with a full batch. */
        val FULL_INTERVAL: Duration = EMPTY_INTERVAL * 2
    }
}
