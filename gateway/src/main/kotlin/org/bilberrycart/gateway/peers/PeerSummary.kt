package org.bilberrycart.gateway.peers

import kotlin.time.Duration
import org.bilberrycart.gateway.model.ConfigurationStatus
import org.bilberrycart.gateway.model.PartReport
import org.bilberrycart.gateway.model.RetryUse

/**
 * The combined reports of all peers of a node.
 *
 * @property loads the sum of their attempts in progress at each upstream, by id.
 * @property lossAges how many milliseconds ago a peer last lost each upstream, by id.
 * @property crashes the names of crashes of upstreams that began a call, by its fingerprint.
 * @property retries their use of the retry budget of each service in the retry window; includes
 *   that of peers that were removed during the window.
 * @property oldestSeenAt when the peer that has been silent for longest was last heard; null
 *   without peers.
 * @property configuration whether this node's configuration is in force, by all that is known; null
 *   if it follows none.
 * @property unreached the services of which each peer that takes forwarded calls reaches no
 *   upstream, by the address at which it takes them.
 * @property partReports what each peer that knows of any reports on parts that crash upstreams.
 */
public data class PeerSummary(
    val loads: Map<String, Int> = emptyMap(),
    val lossAges: Map<String, Int> = emptyMap(),
    val crashes: Map<Long, Set<String>> = emptyMap(),
    val retries: Map<String, RetryUse> = emptyMap(),
    val unreached: Map<String, Set<String>> = emptyMap(),
    val partReports: List<PartReport> = emptyList(),
    val oldestSeenAt: Duration? = null,
    val configuration: ConfigurationStatus? = null,
)
