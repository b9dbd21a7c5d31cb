package org.bilberrycart.gateway.peers

import org.bilberrycart.gateway.discovery.TableEdition

/** The actions that the peers filter requests. */
public sealed class PeersAction {
    /** Sends [message] to each of [addresses]. */
    public data class Send(val addresses: List<String>, val message: GossipMessage) :
        PeersAction()

    /** Reports the new [summary] of the messages of [peers]. */
    public data class SummaryChanged(val summary: PeerSummary, val peers: Set<String>) :
        PeersAction()

    /** Reports the edition of each table that the peer at [address] has, by name of the table. */
    public data class TableEditions(val address: String, val editions: Map<String, TableEdition>) :
        PeersAction()

    /** Reports that a peer was added, or removed after its timeout; [peerCount] peers remain. */
    public data class PeerStatusChanged(
        val address: String,
        val isAlive: Boolean,
        val peerCount: Int,
    ) : PeersAction()
}
