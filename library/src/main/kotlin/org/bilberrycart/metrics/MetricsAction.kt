package org.bilberrycart.metrics

import kotlin.time.Duration
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.ResultCode

/** What the metrics duty asks for. */
public sealed class MetricsAction {
    /** Add [count] waits of [wait] to the histogram of [series] and [requestClass]. */
    public data class Observe(
        val series: OrganisationSeries,
        val requestClass: RequestClass,
        val measure: Measure,
        val wait: Duration,
        val count: Int = 1,
    ) : MetricsAction()

    /** Drop the histograms of [series]: it is no longer among the largest. */
    public data class Forget(val series: OrganisationSeries.Named) : MetricsAction()

    /** The 95th percentile of the worst minute of the last hour is now [wait]. */
    public data class SetWorstMinute(
        val requestClass: RequestClass,
        val measure: Measure,
        val wait: Duration,
    ) : MetricsAction()

    /** Count an answer that ended, whole if [code] is null. */
    public data class CountResult(val code: ResultCode?) : MetricsAction()

    /** Count tokens that went to callers. */
    public data class CountTokens(val tokens: Int) : MetricsAction()

    /** Count a lost attempt. */
    public data class CountLoss(val cause: LossCause) : MetricsAction()

    /** Count a generation that went on after a loss. */
    public data object CountResume : MetricsAction()

    /** Count a token that the journal did not accept. */
    public data object CountStray : MetricsAction()

    /** Count a broken invariant. */
    public data class CountInvariant(val invariant: String) : MetricsAction()

    /** Count a request whose times are not kept because too many are in flight. */
    public data object CountUntracked : MetricsAction()
}
