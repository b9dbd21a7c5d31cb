package org.bilberrycart.gateway.discovery

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap

/** Brings what the store or a peer sends together with the rows that a node knows. */
internal class TableMerge(private val order: RowOrder) {
    /**
     * Returns [feed] after the whole of [table] was read, which is [rows] at [version].
     *
     * What is known from another era stays where it is later than what was read: the store may have
     * come back from a copy that lacks it.
     */
    fun wholeTable(
        table: StoreTable,
        feed: TableFeed,
        rows: PersistentMap<String, StoreRow>,
        version: StoreVersion,
        now: Duration,
    ): TableFeed {
        val isOtherEra = feed.version?.era != version.era
        val mayBeOlder = isOtherEra || table == StoreTable.CONFIGURATION
        val merged = if (mayBeOlder) order.withLaterOf(table, rows, feed.rows) else rows
        val hasRowGone = feed.rows.keys.any { it !in rows }
        val changedAt = if (hasRowGone) version else lastChange(feed, rows.values, version)
        val next = feed.copy(
            rows = merged,
            version = version,
            edition = edition(table, merged, changedAt),
        )
        return if (isOtherEra && feed.version != null) restored(table, next, now) else next
    }

    /** Returns [feed] after the rows of [changes] changed up to [version] of the same era. */
    fun changes(
        table: StoreTable,
        feed: TableFeed,
        changes: Collection<StoreRow>,
        version: StoreVersion,
    ): TableFeed {
        val rows = changes.fold(feed.rows) { rows, row ->
            val known = rows[row.key]
            when {
                row.value == null -> rows.remove(row.key)
                known != null && isOlderConfiguration(table, row, known) -> rows
                else -> rows.put(row.key, row)
            }
        }
        val written = changes.filter { it.value != null }.map { it.key }
        return feed.copy(
            rows = rows,
            version = version,
            edition = edition(table, rows, lastChange(feed, changes, version)),
            removed = feed.removed.withWritten(written),
        )
    }

    /** Returns [feed] with those [rows] of a peer that are later than the known ones. */
    fun laterRows(
        table: StoreTable,
        feed: TableFeed,
        rows: PersistentMap<String, StoreRow>,
    ): TableFeed {
        val merged = order.withLaterOf(table, feed.rows, rows)
        return feed.copy(rows = merged, edition = edition(table, merged, feed.changedAt))
    }

    /** Returns the edition of a copy of [table] with [rows] at [version]. */
    fun edition(
        table: StoreTable,
        rows: Map<String, StoreRow>,
        version: StoreVersion,
    ): TableEdition = TableEdition(order.configurationVersion(table, rows.values), version)

    /** Returns [feed], just read, after the store came back from an older copy. */
    private fun restored(table: StoreTable, feed: TableFeed, now: Duration): TableFeed {
        val recovered = feed.copy(recoveredAt = now)
        if (table != StoreTable.UPSTREAMS) return recovered
        val returned = feed.rows.filter { (key, row) ->
            feed.removed.rows[key]?.let { order.isSameProcess(row, it.row) } == true
        }
        return recovered.copy(removed = feed.removed.withWithheld(returned.keys, now))
    }

    private fun isOlderConfiguration(table: StoreTable, row: StoreRow, known: StoreRow): Boolean =
        table == StoreTable.CONFIGURATION && order.isLater(table, known, row)

    /** Returns the version of the last change, which [rows] may show, as of [version]. */
    private fun lastChange(
        feed: TableFeed,
        rows: Collection<StoreRow>,
        version: StoreVersion,
    ): StoreVersion {
        val shown = rows.maxOfOrNull { it.version } ?: StoreVersion.BEFORE_ALL
        return maxOf(minOf(shown, version), feed.changedAt)
    }
}
