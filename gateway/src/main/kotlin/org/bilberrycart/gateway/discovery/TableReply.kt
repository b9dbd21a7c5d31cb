package org.bilberrycart.gateway.discovery

import kotlinx.collections.immutable.PersistentList

/** The result of a call to the store about one of its tables. */
public sealed class TableReply {
    /**
     * A page of a table as of [version].
     *
     * @property next the key at which the next page begins; null on the last page.
     */
    public data class Page(
        val rows: PersistentList<StoreRow>,
        val version: StoreVersion,
        val next: String?,
    ) : TableReply()

    /** The rows that changed up to [version]. */
    public data class Changes(val rows: PersistentList<StoreRow>, val version: StoreVersion) :
        TableReply()

    /** The store no longer keeps the requested changes; the table has to be read again. */
    public data object HistoryLost : TableReply()

    /** The call failed or its answer was unusable, because of [cause]. */
    public data class Failed(val cause: String) : TableReply()
}
