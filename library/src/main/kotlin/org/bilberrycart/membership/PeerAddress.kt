package org.bilberrycart.membership

/** An IP address and TCP port on which a node may listen for peers. */
public data class PeerAddress(val host: String, val port: Int)
