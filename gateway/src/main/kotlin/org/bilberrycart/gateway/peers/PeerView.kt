package org.bilberrycart.gateway.peers

import kotlin.time.Duration

/** The last [message] of a peer, which was received at [lastSeenAt]. */
public data class PeerView(val message: GossipMessage, val lastSeenAt: Duration) {
    /** The start of the peer's process that sent the message. */
    public val start: PeerStart
        get() = PeerStart(message.sender, message.incarnation)
}
