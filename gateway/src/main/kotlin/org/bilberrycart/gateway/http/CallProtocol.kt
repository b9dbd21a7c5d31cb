package org.bilberrycart.gateway.http

import org.bilberrycart.gateway.model.AnswerHead
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.EngineReport
import org.bilberrycart.gateway.model.Header
import org.bilberrycart.gateway.model.Refusal
import org.bilberrycart.gateway.placement.SendOrder

/** The wire format of calls between callers, this node and upstreams. */
public interface CallProtocol {
    /** The path of an upstream's report on itself, which costs the upstream no work to answer. */
    public val probeTarget: String

    /** The path at which this node answers whether it is ready. */
    public val readinessTarget: String

    /** Reads a caller's request head, or returns the refusal to answer it with. */
    public fun readRequestHead(method: String, target: String, headers: List<Header>): HeadResult

    /**
     * Returns the headers to send to the upstream of [order]; a stream continues after [lastEvent],
     * the id of the last event that the caller has, or starts at its first event if null. A node to
     * which the call is forwarded gets those that the caller sent.
     */
    public fun upstreamHeaders(order: SendOrder, lastEvent: Long?): List<Header>

    /** Reads the status and headers of an upstream's answer. */
    public fun readAnswerHead(status: Int, headers: List<Header>): AnswerHead

    /**
     * Reads the status and headers of the answer of another node to which the call was forwarded.
     * A refusal of that node that promises so says that the call has not run.
     */
    public fun readForwardedHead(status: Int, headers: List<Header>): AnswerHead

    /** Reads an engine's report on itself; returns null if [body] is not such a report. */
    public fun readEngineReport(body: Body): EngineReport?

    /** Returns the answer that reports [refusal] to the caller of the call with [requestId]. */
    public fun refusalAnswer(refusal: Refusal, requestId: String?): RefusalAnswer
}
