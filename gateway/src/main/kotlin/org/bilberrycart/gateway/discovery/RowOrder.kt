package org.bilberrycart.gateway.discovery

import kotlinx.collections.immutable.PersistentMap

/**
 * Tells which of two rows with the same key is the later one, by what they say of themselves.
 *
 * The version of the store doesn't tell that once the store has come back from an older copy.
 */
internal class RowOrder(private val reader: RowReader) {
    /** Returns the operator's version of the configuration in [rows] of [table], or 0. */
    fun configurationVersion(table: StoreTable, rows: Collection<StoreRow>): Long = when (table) {
        StoreTable.CONFIGURATION -> rows.mapNotNull(::configurationVersion).maxOrNull() ?: 0
        StoreTable.UPSTREAMS -> 0
    }

    /**
     * Returns [read], rows of [table] from a copy of unknown age, with each row of [known] in place
     * of an earlier one.
     */
    fun withLaterOf(
        table: StoreTable,
        read: PersistentMap<String, StoreRow>,
        known: Map<String, StoreRow>,
    ): PersistentMap<String, StoreRow> {
        val later = known.filter { (key, row) ->
            read[key]?.let { isLater(table, row, it) } == true
        }
        return read.putAll(later)
    }

    /** Returns whether [row] of [table] is later than [other], of the same key. */
    fun isLater(table: StoreTable, row: StoreRow, other: StoreRow): Boolean = when (table) {
        StoreTable.CONFIGURATION ->
            compareValues(configurationVersion(row), configurationVersion(other)) > 0
        StoreTable.UPSTREAMS -> isLaterEntry(row, other)
    }

    /** Returns whether [row] and [other], entries of upstreams, are of the same process. */
    fun isSameProcess(row: StoreRow, other: StoreRow): Boolean =
        reader.upstream(row)?.startedAtMillis == reader.upstream(other)?.startedAtMillis

    private fun configurationVersion(row: StoreRow): Long? =
        when (val content = reader.configuration(row)) {
            is ConfigurationRow.Read -> content.configuration.version
            ConfigurationRow.Unreadable, ConfigurationRow.Other -> null
        }

    /** A process that leaves doesn't come back; another one started later or earlier. */
    private fun isLaterEntry(row: StoreRow, other: StoreRow): Boolean {
        val entry = reader.upstream(row) ?: return false
        val otherEntry = reader.upstream(other) ?: return true
        val order = compareValues(entry.startedAtMillis, otherEntry.startedAtMillis)
        return order > 0 || (order == 0 && entry.isLeaving && !otherEntry.isLeaving)
    }
}
