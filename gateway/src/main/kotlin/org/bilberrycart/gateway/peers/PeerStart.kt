package org.bilberrycart.gateway.peers

/** One start of the process at [address], which [incarnation] tells apart from its other starts. */
public data class PeerStart(val address: String, val incarnation: Long)
