package org.bilberrycart.gateway.peers

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * The state of the peers filter.
 *
 * @property self the address at which this node receives gossip messages, HOST:PORT.
 * @property incarnation differs for each start of this process, and grows.
 * @property candidates addresses at which peers may be found.
 * @property peers the peers from which messages are being received, by address.
 * @property sequence the number of the last message sent.
 * @property lastSent the last message sent; null before the first one.
 * @property lastSentAt when a message was last sent to all peers.
 * @property lastContactAt when a message was last sent to candidates that are not peers.
 * @property summary the summary last reported to placement, without losses.
 * @property summarizedPeers the peers that this summary covers.
 * @property summarizedAt when this summary was reported.
 * @property departed the last reports of peers that were removed or restarted.
 * @property lossTimes when peers lost upstreams, by id, as far as not yet reported to placement.
 */
public data class PeersState(
    val self: String,
    val incarnation: Long,
    val candidates: PersistentSet<String> = persistentSetOf(),
    val peers: PersistentMap<String, PeerView> = persistentMapOf(),
    val sequence: Long = 0,
    val lastSent: GossipMessage? = null,
    val lastSentAt: Duration = Duration.ZERO,
    val lastContactAt: Duration = Duration.ZERO,
    val summary: PeerSummary = PeerSummary(),
    val summarizedPeers: Set<String> = emptySet(),
    val summarizedAt: Duration = Duration.ZERO,
    val lossTimes: PersistentMap<String, Duration> = persistentMapOf(),
    val departed: DepartedPeers = DepartedPeers(),
)
