package org.bilberrycart.gateway.discovery

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.UpstreamEntry

/**
 * The rows of upstreams as they were last read, so that only those that changed are read again.
 *
 * @property read what each row said, with the row; null where it can't be read.
 */
internal data class RowCache(private val read: Map<StoreRow, UpstreamEntry?> = emptyMap()) {
    /** The upstreams that the rows name. */
    val entries: PersistentList<UpstreamEntry>
        get() = read.values.filterNotNull().toPersistentList()

    /** The keys of the rows that name none. */
    val unreadable: List<String>
        get() = read.filterValues { it == null }.keys.map { it.key }

    /** Returns the cache of [rows], reading with [reader] those that are new. */
    fun updated(rows: List<StoreRow>, reader: RowReader): RowCache = RowCache(
        rows.associateWith { if (it in read) read[it] else reader.upstream(it) },
    )
}
