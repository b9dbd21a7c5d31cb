package org.bilberrycart.gateway.discovery

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap

/** A row that was removed at [removedAt], as it last was. */
public data class RemovedRow(val row: StoreRow, val removedAt: Duration)

/**
 * The rows that were removed from a table, so that an older copy of the store does not bring them
 * back at once.
 *
 * @property rows the rows that were removed lately, by key.
 * @property withheldUntil until when a row that an older copy brought back is not published, by
 *   key.
 */
public data class RemovedRows(
    val rows: PersistentMap<String, RemovedRow> = persistentMapOf(),
    val withheldUntil: PersistentMap<String, Duration> = persistentMapOf(),
) {
    /** Returns these after [gone] were removed at [now]. */
    internal fun withRemoved(gone: Collection<StoreRow>, now: Duration): RemovedRows {
        if (gone.isEmpty()) return this
        val known = rows.filterValues { now - it.removedAt < MEMORY }
        val all = known.toList() + gone.map { it.key to RemovedRow(it, now) }
        return copy(rows = all.takeLast(MAX_ROWS).toMap().toPersistentMap())
    }

    /** Returns these after the rows of [keys] were written by their owners. */
    internal fun withWritten(keys: Collection<String>): RemovedRows =
        copy(rows = rows - keys, withheldUntil = withheldUntil - keys)

    /** Returns these with the rows of [keys] withheld from [now] on. */
    internal fun withWithheld(keys: Collection<String>, now: Duration): RemovedRows =
        copy(withheldUntil = withheldUntil.putAll(keys.associateWith { now + WITHHOLDING }))

    /** Returns these without the rows that need not be withheld any longer at [now]. */
    internal fun withoutExpired(now: Duration): RemovedRows =
        copy(withheldUntil = withheldUntil.filterValues { it > now }.toPersistentMap())

    private companion object {
        /** An entry that its upstream does not renew has left the store within this time. */
        val WITHHOLDING = 6.seconds

        /** Copies of the store are not older than this. */
        val MEMORY = 60.seconds
        const val MAX_ROWS = 512
    }
}

private operator fun <V> PersistentMap<String, V>.minus(
    keys: Collection<String>,
): PersistentMap<String, V> = keys.fold(this) { map, key -> map.remove(key) }
