package org.bilberrycart.gateway.peers

import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel
import org.bilberrycart.gateway.discovery.StoreRow
import org.bilberrycart.gateway.discovery.StoreVersion
import org.bilberrycart.gateway.discovery.TableFeed
import org.bilberrycart.gateway.discovery.TableReply
import org.bilberrycart.gateway.model.Body

/** The copy of a table of the store that a node sends to one that cannot reach the store. */
@Serializable
internal data class TableCopy(
    @CborLabel(label = 1) val version: StoreVersion,
    @CborLabel(label = 2) val rows: List<Row>,
) {
    /** A row of the copy, as in [StoreRow]. */
    @Serializable
    data class Row(
        @CborLabel(label = 1) val key: String,
        @ByteString @CborLabel(label = 2) val value: ByteArray,
        @CborLabel(label = 3) val version: StoreVersion,
    )

    /** Returns the copy as a page of the table. */
    fun page(): TableReply.Page = TableReply.Page(
        rows = rows.map { StoreRow(it.key, Body(it.value), it.version) }.toPersistentList(),
        version = version,
        next = null,
    )

    companion object {
        /** Returns the copy of [feed], or null before it was first read. */
        fun of(feed: TableFeed): TableCopy? = feed.version?.let { version ->
            TableCopy(
                version,
                feed.rows.values.mapNotNull { row ->
                    row.value?.let { Row(row.key, it.bytes, row.version) }
                },
            )
        }
    }
}
