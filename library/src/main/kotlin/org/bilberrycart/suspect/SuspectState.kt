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
 * All that is known of requests that may crash upstreams.
 *
 * @property records the suspects.
 * @property inFlight the attempts that were passed on and are not over.
 * @property held placements of a suspect that wait for a copy of it in flight to end.
 * @property recentDeaths upstreams that died within the last seconds.
 * @property dead upstreams that died and have not answered since, and when they died.
 * @property leaving upstreams that gave notice, until when that is remembered.
 */
public data class SuspectState(
    val records: PersistentMap<Fingerprint, SuspectRecord> = persistentHashMapOf(),
    val inFlight: PersistentMap<AttemptId, SuspectAttempt> = persistentHashMapOf(),
    val held: PersistentMap<Fingerprint, PersistentList<Placement>> = persistentMapOf(),
    val recentDeaths: PersistentMap<UpstreamId, UpstreamDeath> = persistentMapOf(),
    val dead: PersistentMap<UpstreamId, Duration> = persistentMapOf(),
    val leaving: PersistentMap<UpstreamId, Duration> = persistentMapOf(),
) {
    /** Returns on how many upstreams that died [fingerprint] was, as far as is known. */
    public fun deathsOf(fingerprint: Fingerprint): Int = records[fingerprint]?.deaths ?: 0

    /** Returns this state after [attempt] was lost with [upstream], which gave no notice. */
    internal fun lost(attempt: SuspectAttempt, upstream: UpstreamId, now: Duration): SuspectState {
        val diedAt = dead[upstream] ?: now
        if (attempt.passedAt > diedAt) return this
        return copy(dead = dead.put(upstream, diedAt))
            .lostWith(upstream, attempt, now)
    }

    private fun lostWith(
        upstream: UpstreamId,
        attempt: SuspectAttempt,
        now: Duration,
    ): SuspectState {
        val fingerprint = attempt.fingerprint
        val recent = recentDeaths.values.fold(recentDeaths) { kept, death ->
            if (now - death.at <= MASS_WINDOW) kept else kept.without(death)
        }
        val death = recent[upstream] ?: UpstreamDeath(now)
        if (fingerprint in death.fingerprints) return copy(recentDeaths = recent)
        val seen = death.copy(fingerprints = death.fingerprints.add(fingerprint))
        val next = copy(recentDeaths = recent.put(upstream, seen))
        val wasMass = recent.size >= MASS_DEATHS
        val isMass = next.recentDeaths.size >= MASS_DEATHS
        return when {
            isMass && !wasMass -> next.counted(attempt, now).withoutSingles()
            isMass && next.sightings(fingerprint) < 2 -> next
            else -> next.counted(attempt, now)
        }
    }

    /** Returns this state once [deaths] of [fingerprint] are known, at most those and more. */
    internal fun heard(event: SuspectEvent.SuspectHeard, now: Duration): SuspectState {
        val known = records[event.fingerprint]
        if (known != null && known.deaths >= event.deaths) return this
        val record = SuspectRecord(event.deaths, event.deaths, now, now + event.lifetime)
        return withRecord(event.fingerprint, record)
    }

    /** Returns this state without what is out of date at [now]. */
    internal fun expired(now: Duration): SuspectState = copy(
        records = records.filterOut { it.expiresAt <= now },
        dead = dead.filterOut { now - it > DEAD_MEMORY },
        leaving = leaving.filterOut { it <= now },
    )

    internal fun withRecord(fingerprint: Fingerprint, record: SuspectRecord): SuspectState {
        val hasRoom = fingerprint in records || records.size < RECORD_LIMIT
        return if (hasRoom || record.deaths > 1) {
            copy(records = records.put(fingerprint, record))
        } else {
            this
        }
    }

    /** Counts a death; only one that it ran alone on is proof, and counts beyond the second. */
    private fun counted(attempt: SuspectAttempt, now: Duration): SuspectState {
        val fingerprint = attempt.fingerprint
        val known = records[fingerprint]
        val before = deathsOf(fingerprint)
        val record = SuspectRecord(
            deaths = if (attempt.isAlone) before + 1 else maxOf(before, minOf(before + 1, 2)),
            spreadDeaths = known?.spreadDeaths ?: 0,
            changedAt = now,
            expiresAt = now + LIFETIME,
        )
        return withRecord(fingerprint, record)
    }

    /** Many deaths at once have a common cause; only work on two of them stays suspect. */
    private fun withoutSingles(): SuspectState {
        val singles = recentDeaths.values.flatMap { it.fingerprints }
            .groupingBy { it }.eachCount()
            .filterValues { it == 1 }.keys
        return copy(records = singles.fold(records) { kept, single -> kept.lessOne(single) })
    }

    private fun sightings(fingerprint: Fingerprint): Int =
        recentDeaths.values.count { fingerprint in it.fingerprints }

    internal companion object {
        val LIFETIME = 10.minutes
        val MASS_WINDOW = 2.seconds
        val DEAD_MEMORY = 1.minutes
        const val MASS_DEATHS = 3
        const val RECORD_LIMIT = 4_096
    }
}

private fun PersistentMap<UpstreamId, UpstreamDeath>.without(death: UpstreamDeath) =
    filterOut { it === death }

private fun PersistentMap<Fingerprint, SuspectRecord>.lessOne(fingerprint: Fingerprint) =
    this[fingerprint]?.let { record ->
        if (record.deaths > 1) {
            put(fingerprint, record.copy(deaths = record.deaths - 1))
        } else {
            remove(fingerprint)
        }
    } ?: this

private fun <K, V> PersistentMap<K, V>.filterOut(isOut: (V) -> Boolean): PersistentMap<K, V> =
    entries.filter { isOut(it.value) }.fold(this) { kept, (key, _) -> kept.remove(key) }
