package org.bilberrycart.gateway.discovery

/** What reaches discovery. */
public sealed class DiscoveryEvent {
    /** Begin to follow all tables. */
    public data object Start : DiscoveryEvent()

    /** The store answered a call about [table], or failed to. */
    public data class Replied(val table: StoreTable, val reply: StoreReply) : DiscoveryEvent()

    /** Time has passed. */
    public data object Tick : DiscoveryEvent()
}
