package org.bilberrycart.metrics

import kotlin.time.Duration
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode

/**
 * An event that the metrics duty processes.
 *
 * Other duties offer these events without waiting; events that the full ring rejects are counted by
 * the ring. Times are those of the node's [org.bilberrycart.pipeline.Clock].
 */
public sealed class MetricsEvent {
    /** [request], which arrived at [arrivedAt], was admitted. */
    public data class Admitted(
        val request: RequestId,
        val organisation: OrganisationId,
        val requestClass: RequestClass,
        val arrivedAt: Duration,
    ) : MetricsEvent()

    /** [tokens] tokens of [request] were released to its caller at the same time. */
    public data class Released(val request: RequestId, val tokens: Int, val at: Duration) :
        MetricsEvent()

    /** The answer to [request] failed with [code], or was complete if [code] is null. */
    public data class Ended(val request: RequestId, val code: ResultCode?, val at: Duration) :
        MetricsEvent()

    /** A request was refused with [code] before it was admitted. */
    public data class Refused(val code: ResultCode) : MetricsEvent()

    /** [request] resumed after the loss of its upstream, [latency] after its previous token. */
    public data class Resumed(val request: RequestId, val latency: Duration) : MetricsEvent()

    /** An attempt was lost because of [cause]. */
    public data class Lost(val cause: LossCause) : MetricsEvent()

    /** The journal rejected a token. */
    public data object StrayToken : MetricsEvent()

    /** [invariant] was violated. */
    public data class InvariantBroken(val invariant: String) : MetricsEvent()

    /** The timer fired. */
    public data object Tick : MetricsEvent()
}
