package org.bilberrycart.gateway.peers

import kotlin.time.Duration

/** The last [message] of a peer, which was received at [lastSeenAt]. */
public data class PeerView(val message: GossipMessage, val lastSeenAt: Duration)
