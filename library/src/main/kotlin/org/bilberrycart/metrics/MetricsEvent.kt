package org.bilberrycart.metrics

import kotlin.time.Duration
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode

/**
 * What the metrics duty reacts to.
 *
 * Other duties offer these events and never wait: what a full ring refuses is counted as refused
 * by that ring. Times are those of the node's [org.bilberrycart.pipeline.Clock].
 */
public sealed class MetricsEvent {
    /** [request] was admitted. */
    public data class Admitted(
        val request: RequestId,
        val organisation: OrganisationId,
        val requestClass: RequestClass,
        val arrivedAt: Duration,
    ) : MetricsEvent()

    /** [tokens] tokens of [request] went on to its caller together. */
    public data class Released(val request: RequestId, val tokens: Int, val at: Duration) :
        MetricsEvent()

    /** The answer of [request] is over, whole if [code] is null. */
    public data class Ended(val request: RequestId, val code: ResultCode?, val at: Duration) :
        MetricsEvent()

    /** A request was refused with [code] before its admission. */
    public data class Refused(val code: ResultCode) : MetricsEvent()

    /** [request] goes on after a loss, [latency] after its last token before. */
    public data class Resumed(val request: RequestId, val latency: Duration) : MetricsEvent()

    /** An attempt was lost. */
    public data class Lost(val cause: LossCause) : MetricsEvent()

    /** The journal did not accept a token. */
    public data object StrayToken : MetricsEvent()

    /** An invariant failed. */
    public data class InvariantBroken(val invariant: String) : MetricsEvent()

    /** Time has passed. */
    public data object Tick : MetricsEvent()
}
