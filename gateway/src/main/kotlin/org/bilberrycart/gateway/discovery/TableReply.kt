package org.bilberrycart.gateway.discovery

import kotlinx.collections.immutable.PersistentList

/** What became of a call to the store. */
public sealed class StoreReply {
    /** A page of a table; [next] is the key to go on from, or null at the end. */
    public data class Page(
        val rows: PersistentList<StoreRow>,
        val version: Long,
        val next: String?,
    ) : StoreReply()

    /** What changed up to [version]. */
    public data class Changes(val rows: PersistentList<StoreRow>, val version: Long) :
        StoreReply()

    /** The changes asked for are no longer kept. */
    public data object HistoryLost : StoreReply()

    /** No usable answer. */
    public data class Failed(val cause: String) : StoreReply()
}
