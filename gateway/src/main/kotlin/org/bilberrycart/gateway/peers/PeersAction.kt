package org.bilberrycart.gateway.peers

/** What the peers duty asks for. */
public sealed class PeersAction {
    /** Send [news] to each of [addresses]. */
    public data class Tell(val addresses: List<String>, val news: PeerNews) : PeersAction()

    /** What [peers] say together. */
    public data class Elsewhere(val told: ToldElsewhere, val peers: Set<String>) : PeersAction()

    /** The peer at [address] knows its tables up to these versions. */
    public data class Tables(val address: String, val versions: Map<String, Long>) : PeersAction()

    /** A peer was heard for the first time, or no more; [peers] are heard now. */
    public data class Believe(val address: String, val isAlive: Boolean, val peers: Int) :
        PeersAction()
}
