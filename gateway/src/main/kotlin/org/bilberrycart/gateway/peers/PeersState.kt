package org.bilberrycart.gateway.peers

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf

/**
 * The peers of a node.
 *
 * @property candidates addresses at which peers may be.
 * @property told what was last sent, without its number.
 * @property elsewhere the loads that were last reported to placement.
 */
public data class PeersState(
    val self: String,
    val incarnation: Long,
    val candidates: PersistentSet<String> = persistentSetOf(),
    val peers: PersistentMap<String, PeerView> = persistentMapOf(),
    val sequence: Long = 0,
    val told: PeerNews? = null,
    val toldAt: Duration = Duration.ZERO,
    val soughtAt: Duration = Duration.ZERO,
    val elsewhere: Map<String, Int> = emptyMap(),
)
