package org.bilberrycart.suspect

import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.Placement
import org.bilberrycart.model.UpstreamId

/**
 * The requests that may crash upstreams, and the crashes they were seen in.
 *
 * @property records the suspect requests.
 * @property inFlight the attempts that were forwarded to routing and have not ended.
 * @property held the placements of a suspect that wait until its attempt in flight has ended.
 * @property recentCrashes the upstreams that crashed within the last [MASS_LOSS_WINDOW].
 * @property crashed the upstreams that crashed and have not responded since, with the time of the
 *   crash.
 * @property leaving the upstreams that announced that they will stop, with the time until which
 *   the announcement is kept.
 */
public data class SuspectState(
    val records: PersistentMap<Fingerprint, SuspectRecord> = persistentHashMapOf(),
    val inFlight: PersistentMap<AttemptId, SuspectAttempt> = persistentHashMapOf(),
    val held: PersistentMap<Fingerprint, PersistentList<Placement>> = persistentMapOf(),
    val recentCrashes: PersistentMap<UpstreamId, UpstreamCrash> = persistentMapOf(),
    val crashed: PersistentMap<UpstreamId, Duration> = persistentMapOf(),
    val leaving: PersistentMap<UpstreamId, Duration> = persistentMapOf(),
) {
    /** Returns the number of known upstream crashes while [fingerprint] was running there. */
    public fun crashesOf(fingerprint: Fingerprint): Int = records[fingerprint]?.crashes ?: 0

    /**
     * Returns this state after [attempt] was lost because [upstream] crashed.
     *
     * An attempt that was forwarded after the crash did not cause it and is not counted.
     */
    internal fun withLoss(
        attempt: SuspectAttempt,
        upstream: UpstreamId,
        now: Duration,
    ): SuspectState {
        val crashedAt = crashed[upstream] ?: now
        if (attempt.forwardedAt > crashedAt) return this
        return copy(crashed = crashed.put(upstream, crashedAt))
            .withCrashOf(upstream, attempt, now)
    }

    private fun withCrashOf(
        upstream: UpstreamId,
        attempt: SuspectAttempt,
        now: Duration,
    ): SuspectState {
        val fingerprint = attempt.fingerprint
        val recent = recentCrashes.values.fold(recentCrashes) { kept, crash ->
            if (now - crash.at <= MASS_LOSS_WINDOW) kept else kept.without(crash)
        }
        val crash = recent[upstream] ?: UpstreamCrash(now)
        if (fingerprint in crash.fingerprints) return copy(recentCrashes = recent)
        val updatedCrash = crash.copy(fingerprints = crash.fingerprints.add(fingerprint))
        val next = copy(recentCrashes = recent.put(upstream, updatedCrash))
        val wasMassLoss = recent.size >= MASS_LOSS_THRESHOLD
        val isMassLoss = next.recentCrashes.size >= MASS_LOSS_THRESHOLD
        return when {
            isMassLoss && !wasMassLoss -> next.withCrash(attempt, now).withoutSingleCrashes()
            isMassLoss && next.recentCrashesOf(fingerprint) < 2 -> next
            else -> next.withCrash(attempt, now)
        }
    }

    /**
     * Returns this state with the crashes that another node reported, unless at least as many are
     * known here.
     */
    internal fun withReport(event: SuspectEvent.SuspectReported, now: Duration): SuspectState {
        val known = records[event.fingerprint]
        if (known != null && known.crashes >= event.crashes) return this
        val record = SuspectRecord(event.crashes, event.crashes, now, now + event.lifetime)
        return withRecord(event.fingerprint, record)
    }

    /** Returns this state without the entries that have expired at [now]. */
    internal fun withoutExpired(now: Duration): SuspectState = copy(
        records = records.withoutValues { it.expiresAt <= now },
        crashed = crashed.withoutValues { now - it > CRASHED_RETENTION },
        leaving = leaving.withoutValues { it <= now },
    )

    /**
     * Returns this state with [record].
     *
     * If [RECORD_LIMIT] is reached, a new record of a single crash is dropped.
     */
    internal fun withRecord(fingerprint: Fingerprint, record: SuspectRecord): SuspectState {
        val hasRoom = fingerprint in records || records.size < RECORD_LIMIT
        return if (hasRoom || record.crashes > 1) {
            copy(records = records.put(fingerprint, record))
        } else {
            this
        }
    }

    /**
     * Returns this state with one more crash of the request of [attempt].
     *
     * Only a crash of an upstream that ran nothing else proves that the request caused it, so other
     * crashes do not raise the count above two.
     */
    private fun withCrash(attempt: SuspectAttempt, now: Duration): SuspectState {
        val fingerprint = attempt.fingerprint
        val known = records[fingerprint]
        val before = crashesOf(fingerprint)
        val record = SuspectRecord(
            crashes = if (attempt.isAlone) before + 1 else maxOf(before, minOf(before + 1, 2)),
            gossipedCrashes = known?.gossipedCrashes ?: 0,
            changedAt = now,
            expiresAt = now + RECORD_LIFETIME,
        )
        return withRecord(fingerprint, record)
    }

    /**
     * Returns this state without the crashes of a mass loss.
     *
     * Many upstreams that crash at once have a common cause, so only requests that were running on
     * at least two of them stay suspect.
     */
    private fun withoutSingleCrashes(): SuspectState {
        val singles = recentCrashes.values.flatMap { it.fingerprints }
            .groupingBy { it }.eachCount()
            .filterValues { it == 1 }.keys
        return copy(
            records = singles.fold(records) { kept, single -> kept.withOneCrashLess(single) },
        )
    }

    private fun recentCrashesOf(fingerprint: Fingerprint): Int =
        recentCrashes.values.count { fingerprint in it.fingerprints }

    internal companion object {
        val RECORD_LIFETIME = 10.minutes
        val MASS_LOSS_WINDOW = 2.seconds
        val CRASHED_RETENTION = 1.minutes
        const val MASS_LOSS_THRESHOLD = 3
        const val RECORD_LIMIT = 4_096
    }
}

private fun PersistentMap<UpstreamId, UpstreamCrash>.without(crash: UpstreamCrash) =
    withoutValues { it === crash }

private fun PersistentMap<Fingerprint, SuspectRecord>.withOneCrashLess(fingerprint: Fingerprint) =
    this[fingerprint]?.let { record ->
        if (record.crashes > 1) {
            put(fingerprint, record.copy(crashes = record.crashes - 1))
        } else {
            remove(fingerprint)
        }
    } ?: this

private fun <K, V> PersistentMap<K, V>.withoutValues(
    isRemoved: (V) -> Boolean,
): PersistentMap<K, V> =
    entries.filter { isRemoved(it.value) }.fold(this) { kept, (key, _) -> kept.remove(key) }
