package org.bilberrycart.gateway.peers

import kotlin.time.Duration

/** What was last heard of one peer, and when. */
public data class PeerView(val news: PeerNews, val heardAt: Duration)
