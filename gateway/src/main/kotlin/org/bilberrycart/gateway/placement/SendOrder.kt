package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.RoutedCall
import org.bilberrycart.gateway.model.StreamOrigin
import org.bilberrycart.gateway.model.UpstreamEntry

/**
 * An order to send [call] to [upstream].
 *
 * @property timeLeft how long the upstream may work on the call.
 * @property backup the upstream that shall receive a copy of the KV cache, if any.
 * @property resumesFrom the KV cache copy at [upstream] from which a generation resumes, if any.
 * @property load the estimated load of [upstream] when it was selected.
 * @property usableUpstreams how many upstreams could be selected.
 * @property isRetry whether it counts as a retry in the retry budget of the service.
 * @property isUrgent whether it goes before the requests queued at [upstream].
 * @property origin where the stream may be sent.
 * @property earlierArrivals how often the call may have reached an upstream, if it is forwarded to
 *   another node in place of one; else null.
 * @property needsNewConnection whether the call was sent to the same address before. An answer to
 *   the earlier attempt may still arrive on its connection and bears the same request id.
 */
public data class SendOrder(
    val attempt: AttemptKey,
    val call: RoutedCall,
    val upstream: UpstreamEntry,
    val timeLeft: Duration,
    val backup: UpstreamEntry? = null,
    val resumesFrom: KvCacheCopy? = null,
    val load: Double = 0.0,
    val usableUpstreams: Int = 1,
    val isRetry: Boolean = false,
    val isUrgent: Boolean = false,
    val origin: StreamOrigin = StreamOrigin.NotBegun,
    val earlierArrivals: Int? = null,
    val needsNewConnection: Boolean = false,
) {
    /** Whether another node gets the call, to send it to an upstream. */
    public val isForwarded: Boolean
        get() = earlierArrivals != null
}
