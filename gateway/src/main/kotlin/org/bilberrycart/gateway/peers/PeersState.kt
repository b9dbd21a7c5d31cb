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
 * @property elsewhere what was last reported to placement, without losses.
 * @property elsewhereOf the peers that said so.
 * @property lost when peers lost upstreams, as far as placement was not yet told.
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
    val elsewhere: ToldElsewhere = ToldElsewhere(),
    val elsewhereOf: Set<String> = emptySet(),
    val elsewhereAt: Duration = Duration.ZERO,
    val lost: PersistentMap<String, Duration> = persistentMapOf(),
)
