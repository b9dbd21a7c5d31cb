package org.bilberrycart.gateway.discovery

import kotlin.time.Duration

/**
 * A peer at [address] with [edition] of a table, a change of which this node has not seen.
 *
 * @property askAt when the peer is asked for its copy if the store has not sent the change by then.
 */
public data class PeerLead(val address: String, val edition: TableEdition, val askAt: Duration)
