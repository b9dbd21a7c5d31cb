package org.bilberrycart.gateway.discovery

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.UpstreamEntry

/**
 * The parsed rows of the upstream table, kept so that only rows that changed are parsed again.
 *
 * @property parsed the upstream that each row describes; null for a row that cannot be parsed.
 */
internal data class RowCache(private val parsed: Map<StoreRow, UpstreamEntry?> = emptyMap()) {
    /** The upstreams that the rows describe. */
    val entries: PersistentList<UpstreamEntry>
        get() = parsed.values.filterNotNull().toPersistentList()

    /** The keys of the rows that cannot be parsed. */
    val unreadable: List<String>
        get() = parsed.filterValues { it == null }.keys.map { it.key }

    /** Returns the cache of [rows]; rows that are not in this cache are parsed with [reader]. */
    fun updated(rows: List<StoreRow>, reader: RowReader): RowCache = RowCache(
        rows.associateWith { if (it in parsed) parsed[it] else reader.upstream(it) },
    )
}
