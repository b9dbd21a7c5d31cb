package org.bilberrycart.gateway.peers

import org.bilberrycart.gateway.discovery.TableEdition
import org.bilberrycart.gateway.model.PartReport
import org.bilberrycart.gateway.model.RetryUse

/** The inputs of the peers filter. */
public sealed class PeersEvent {
    /** A message of another node was received. */
    public data class Received(val message: GossipMessage) : PeersEvent()

    /**
     * The periodic timer fired; the properties are what this node can report now, in the form of
     * [GossipMessage], and the status of its [configuration], null if it follows none.
     */
    public data class Tick(
        val loads: Map<String, Int>,
        val lossAges: Map<String, Int>,
        val editions: Map<String, TableEdition>,
        val crashes: Map<Long, List<String>> = emptyMap(),
        val retries: Map<String, RetryUse> = emptyMap(),
        val parts: PartReport = PartReport(),
        val configuration: TableStatus? = null,
        val callers: String? = null,
        val unreached: Set<String> = emptySet(),
    ) : PeersEvent()
}
