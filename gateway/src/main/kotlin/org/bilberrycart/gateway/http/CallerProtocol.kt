package org.bilberrycart.gateway.http

import org.bilberrycart.gateway.model.AnswerHead
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.EngineReport
import org.bilberrycart.gateway.model.Header
import org.bilberrycart.gateway.model.Refusal
import org.bilberrycart.gateway.placement.SendOrder

/** The names and formats in which callers, this node and upstreams speak of calls. */
public interface CallerProtocol {
    /** The path that an upstream answers without giving work to it. */
    public val probeTarget: String

    /** The path at which this node says whether it is ready. */
    public val readyTarget: String

    /** Reads the head of a caller's request. */
    public fun readHead(method: String, target: String, headers: List<Header>): HeadResult

    /** Returns the headers of [order] for its upstream; a stream goes on behind [lastEvent]. */
    public fun upstreamHeaders(order: SendOrder, lastEvent: Long?): List<Header>

    /** Reads the head of an upstream's answer. */
    public fun readAnswer(status: Int, headers: List<Header>): AnswerHead

    /** Reads what an engine says of itself; null if [body] is no such report. */
    public fun readReport(body: Body): EngineReport?

    /** Returns how a caller is told of [refusal] of the call with [requestId]. */
    public fun ownAnswer(refusal: Refusal, requestId: String?): OwnAnswer
}
