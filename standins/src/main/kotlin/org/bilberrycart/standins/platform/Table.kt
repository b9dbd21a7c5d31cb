package org.bilberrycart.standins.platform

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The rows of the table service as an immutable value.
 *
 * @property revision the version that the last applied write gave to its rows.
 */
data class Table(
    val rows: PersistentMap<String, PersistentMap<String, StoredRow>> = persistentMapOf(),
    val revision: Long = 0,
) {
    /** Returns the row of [key] at [now], or null. */
    fun row(key: String, now: Duration): StoredRow? =
        rows[tableOf(key)]?.get(key)?.takeIf { it.isLive(now) }

    /** Returns the rows of [table] whose names start with [prefix], in order of their keys. */
    fun scan(table: String, prefix: String, now: Duration): List<RowMessage> = rows[table].orEmpty()
        .filter { (key, row) -> key.startsWith("$table/$prefix") && row.isLive(now) }
        .toSortedMap()
        .map { (key, row) -> RowMessage(key, row.value, row.version) }

    /** Applies all writes of [group] if all its conditions hold, and none otherwise. */
    fun apply(group: GroupMessage, now: Duration): GroupOutcome {
        val failed = group.writes.firstOrNull { !conditionHolds(it, now) }
        if (failed != null) {
            val row = row(failed.key, now)?.let { RowMessage(failed.key, it.value, it.version) }
            return GroupOutcome(this, ResultMessage(applied = false, key = failed.key, row = row))
        }
        val next = group.writes.fold(copy(revision = revision + 1)) { table, write ->
            table.write(write, now)
        }
        return GroupOutcome(next, ResultMessage(applied = true, version = next.revision))
    }

    private fun conditionHolds(write: WriteMessage, now: Duration): Boolean {
        val row = row(write.key, now)
        return when (write.condition) {
            "absent" -> row == null
            "version" -> row != null && row.version == write.version
            "any" -> true
            else -> false
        }
    }

    private fun write(write: WriteMessage, now: Duration): Table {
        val table = rows[tableOf(write.key)] ?: persistentMapOf()
        val next = when (val value = write.value) {
            null -> table.remove(write.key)
            else -> table.put(
                write.key,
                StoredRow(value, revision, write.ttlMillis?.let { now + it.milliseconds }),
            )
        }
        return copy(rows = rows.put(tableOf(write.key), next))
    }

    private fun tableOf(key: String): String = key.substringBefore('/')
}

/** The table after a group of writes, and the result of that group. */
data class GroupOutcome(val table: Table, val result: ResultMessage)
