package org.bilberrycart.gateway.peers

/** What reaches the peers duty. */
public sealed class PeersEvent {
    /** Another node sent its news. */
    public data class Received(val news: PeerNews) : PeersEvent()

    /** Time has passed; the rest is what this node could tell now, by id as in [PeerNews]. */
    public data class Tick(
        val loads: Map<String, Int>,
        val lost: Map<String, Int>,
        val tables: Map<String, Long>,
        val strikes: Map<Long, List<String>> = emptyMap(),
    ) : PeersEvent()
}
