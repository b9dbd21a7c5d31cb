package org.bilberrycart.metrics

import kotlin.time.Duration
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.ResultCode

/** An update of the metrics that the metrics duty requests. */
public sealed class MetricsAction {
    /** Adds [count] observations of [wait] to the [measure] of [series] and [requestClass]. */
    public data class Observe(
        val series: OrganisationSeries,
        val requestClass: RequestClass,
        val measure: Measure,
        val wait: Duration,
        val count: Int = 1,
    ) : MetricsAction()

    /** Removes the histograms of [series], which is no longer among the largest. */
    public data class RemoveSeries(val series: OrganisationSeries.Named) : MetricsAction()

    /** Sets the 95th percentile of the worst minute of the last hour to [wait]. */
    public data class SetWorstMinute(
        val requestClass: RequestClass,
        val measure: Measure,
        val wait: Duration,
    ) : MetricsAction()

    /** Counts an answer that failed with [code], or was complete if [code] is null. */
    public data class CountResult(val code: ResultCode?) : MetricsAction()

    /** Counts [tokens] tokens released to callers. */
    public data class CountTokens(val tokens: Int) : MetricsAction()

    /** Counts an attempt that was lost because of [cause]. */
    public data class CountLoss(val cause: LossCause) : MetricsAction()

    /** Counts a generation that resumed after the loss of its upstream. */
    public data object CountResume : MetricsAction()

    /** Counts a token that the journal rejected. */
    public data object CountStray : MetricsAction()

    /** Counts a violation of [invariant]. */
    public data class CountInvariant(val invariant: String) : MetricsAction()

    /** Counts a request that is not timed because too many requests are in flight. */
    public data object CountUntracked : MetricsAction()
}
