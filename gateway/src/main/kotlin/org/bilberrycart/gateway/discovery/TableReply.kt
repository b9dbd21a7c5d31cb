package org.bilberrycart.gateway.discovery

import kotlinx.collections.immutable.PersistentList

/** The result of a call to the store about one of its tables. */
public sealed class TableReply {
    /**
     * A page of a table as of [version].
     *
     * @property next the key at which the next page begins; null on the last page.
     * @property era which life of the store answered, see [TableFeed.era].
     */
    public data class Page(
        val rows: PersistentList<StoreRow>,
        val version: Long,
        val next: String?,
        val era: Long = 0,
    ) : TableReply()

    /** The rows that changed up to [version]; see [Page] for [era]. */
    public data class Changes(
        val rows: PersistentList<StoreRow>,
        val version: Long,
        val era: Long = 0,
    ) : TableReply()

    /** The store no longer keeps the requested changes; the table has to be read again. */
    public data object HistoryLost : TableReply()

    /** The call failed or its answer was unusable, because of [cause]. */
    public data class Failed(val cause: String) : TableReply()
}
