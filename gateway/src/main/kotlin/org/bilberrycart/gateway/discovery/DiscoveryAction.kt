package org.bilberrycart.gateway.discovery

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList

/** What discovery asks for. */
public sealed class DiscoveryAction {
    /** Read a page of [table] that begins at key [from], after [delay]. */
    public data class Read(val table: StoreTable, val from: String?, val delay: Duration) :
        DiscoveryAction()

    /** Wait for changes of [table] after [version]. */
    public data class Follow(val table: StoreTable, val version: Long, val delay: Duration) :
        DiscoveryAction()

    /** Ask the peer at [address] for its copy of [table]. */
    public data class AskPeer(val table: StoreTable, val address: String) : DiscoveryAction()

    /** The rows of [table] have changed to [rows]. */
    public data class Publish(val table: StoreTable, val rows: PersistentList<StoreRow>) :
        DiscoveryAction()

    /** The store was lost or is back. */
    public data class Store(val table: StoreTable, val isBack: Boolean, val cause: String) :
        DiscoveryAction()
}
