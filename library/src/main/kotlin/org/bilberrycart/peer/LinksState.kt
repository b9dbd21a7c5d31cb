package org.bilberrycart.peer

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.bilberrycart.membership.PeerAddress
import org.bilberrycart.model.VmId

/**
 * The links of one node.
 *
 * @property links the newest open link to each peer.
 * @property pendingSends the messages that wait for each connection that is being opened.
 * @property pendingCapacity the largest number of messages that may wait for one connection.
 */
public data class LinksState(
    val links: PersistentMap<VmId, PeerLink> = persistentHashMapOf(),
    val pendingSends: PersistentMap<PeerAddress, PersistentList<LinksEvent.Send>> =
        persistentHashMapOf(),
    val pendingCapacity: Int = 256,
)
