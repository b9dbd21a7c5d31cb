package org.bilberrycart.gateway.discovery

/** The inputs of discovery. */
public sealed class DiscoveryEvent {
    /** Starts following all tables. */
    public data object Start : DiscoveryEvent()

    /** The call with number [call] to the store about [table] ended with [reply]. */
    public data class Replied(val table: StoreTable, val call: Long, val reply: TableReply) :
        DiscoveryEvent()

    /** The peer at [address] reported that its copy of [table] has [edition]. */
    public data class PeerReported(
        val table: StoreTable,
        val address: String,
        val edition: TableEdition,
    ) : DiscoveryEvent()

    /** A peer sent its copy of [table]. */
    public data class PeerTable(val table: StoreTable, val page: TableReply.Page) :
        DiscoveryEvent()

    /** The number of other nodes that read the store is now [count]. */
    public data class PeerCountChanged(val count: Int) : DiscoveryEvent()

    /** The periodic timer fired. */
    public data object Tick : DiscoveryEvent()
}
