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

/**
 * An attempt that an engine runs or has queued.
 *
 * @property node the number of the node that dispatched it.
 * @property tokens how many tokens it has to produce.
 * @property firstTokenAt when its first token is produced; infinite while it is queued.
 * @property interval the time between two of its tokens.
 */
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

    /** Returns how many tokens this job has produced by [now]. */
    fun producedTokens(now: Duration): Int = if (now < firstTokenAt) {
        0
    } else {
        ((now - firstTokenAt) / interval).toInt().plus(1).coerceAtMost(tokens)
    }
}

/**
 * Simulates an engine with continuous batching under a test clock.
 *
 * The time between the tokens of a job is set when it starts: it grows with the batch size at that
 * moment, up to twice that of an empty engine. A prompt whose prefix is cached has a shorter
 * prefill, except on a retry.
 *
 * @property cachedPrefixes how many prompts the prefix cache holds.
 * @property incarnation grows with each crash, so that load reports show it.
 * @property queue jobs that wait for a slot, the most urgent first.
 * @property cache the cached prompts, the most recently used last.
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

    /** Returns a copy with [job] queued behind all jobs that are as urgent or more urgent. */
    fun withQueued(job: Job): FakeEngine {
        val priority = job.placement.request.requestClass.priority
        val insertAt = queue.indexOfFirst { it.placement.request.requestClass.priority > priority }
        return copy(queue = queue.add(if (insertAt < 0) queue.size else insertAt, job))
    }

    /** Returns a copy with the next job started at [now], and the job or null if none can start. */
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

    /** Returns a copy without the running job of [attempt]. */
    fun withoutJob(attempt: AttemptId): FakeEngine = copy(running = running.remove(attempt))

    /** Returns a copy that is down and has lost its jobs and its cache. */
    fun crashed(): FakeEngine = FakeEngine(
        slots,
        cachedPrefixes,
        isAlive = false,
        incarnation = incarnation + 1,
    )

    internal companion object {
        val PREFILL = 200.milliseconds
        val CACHED_PREFILL = 40.milliseconds
        val EMPTY_INTERVAL = 20.milliseconds

        /** The time between two tokens of a job that starts when it fills the batch. */
        val FULL_INTERVAL: Duration = EMPTY_INTERVAL * 2
    }
}
