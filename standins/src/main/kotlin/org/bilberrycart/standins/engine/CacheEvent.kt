package org.bilberrycart.standins.engine

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * An event that reports the blocks of a prompt in the prefix cache.
 *
 * @property blocks the chained hashes of the blocks that are now cached.
 */
data class CacheEvent(val sequence: Long, val at: Duration, val blocks: List<Long>)

/**
 * The published events of the prefix cache, oldest first.
 *
 * Sequence numbers rise by one for each event that happened, so that a reader sees the gaps that
 * unpublished events leave.
 */
data class CacheLog(
    val lastSequence: Long = 0,
    val events: PersistentList<CacheEvent> = persistentListOf(),
) {
    /** Returns this log after [blocks] were stored; a seeded draw leaves some events out. */
    fun record(blocks: List<Long>, at: Duration, settings: EngineSettings): CacheLog {
        val sequence = lastSequence + 1
        val draw = Math.floorMod(mixHash(settings.seed + sequence), PERCENT)
        if (draw < settings.cacheGapPercent) return copy(lastSequence = sequence)
        val kept = if (events.size < MAX_EVENTS) events else events.removeAt(0)
        return CacheLog(sequence, kept.add(CacheEvent(sequence, at, blocks)))
    }

    /** Returns the events with a sequence above [after] that happened no later than [until]. */
    fun published(after: Long, until: Duration): List<CacheEvent> =
        events.filter { it.sequence > after && it.at <= until }

    private companion object {
        const val PERCENT = 100L
        const val MAX_EVENTS = 1_000
    }
}
