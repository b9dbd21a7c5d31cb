package org.bilberrycart.gateway.discovery

/** What reaches discovery. */
public sealed class DiscoveryEvent {
    /** Begin to follow all tables. */
    public data object Start : DiscoveryEvent()

    /** The store answered a call about [table], or failed to. */
    public data class Replied(val table: StoreTable, val reply: StoreReply) : DiscoveryEvent()

    /** The peer at [address] knows [table] up to [version]. */
    public data class PeerKnows(val table: StoreTable, val address: String, val version: Long) :
        DiscoveryEvent()

    /** A peer sent its copy of [table]. */
    public data class PeerSent(val table: StoreTable, val page: StoreReply.Page) :
        DiscoveryEvent()

    /** There are [count] other nodes that read the store. */
    public data class Peers(val count: Int) : DiscoveryEvent()

    /** Time has passed. */
    public data object Tick : DiscoveryEvent()
}
