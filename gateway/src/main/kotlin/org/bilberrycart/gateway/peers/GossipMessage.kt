package org.bilberrycart.gateway.peers

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * What a node tells the others, again and again; the newest replaces all before.
 *
 * @property sender the address at which the sender listens for news, HOST:PORT.
 * @property incarnation differs for each start of a process at that address, and grows.
 * @property sequence grows with each message of an incarnation.
 * @property members addresses of nodes that the sender heard lately.
 * @property loads work that the sender has at each upstream, by id.
 * @property lost how many milliseconds ago the sender lost each upstream, by id.
 * @property strikes upstreams that broke off when they began a call, by its fingerprint.
 * @property tables the version up to which the sender knows each table.
 */
@Serializable
public data class PeerNews(
    @CborLabel(label = 1) val sender: String,
    @CborLabel(label = 2) val incarnation: Long,
    @CborLabel(label = 3) val sequence: Long,
    @CborLabel(label = 4) val members: List<String> = emptyList(),
    @CborLabel(label = 5) val loads: Map<String, Int> = emptyMap(),
    @CborLabel(label = 6) val lost: Map<String, Int> = emptyMap(),
    @CborLabel(label = 7) val tables: Map<String, Long> = emptyMap(),
    @CborLabel(label = 8) val strikes: Map<Long, List<String>> = emptyMap(),
)
