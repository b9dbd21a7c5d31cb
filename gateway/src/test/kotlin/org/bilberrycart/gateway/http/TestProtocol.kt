package org.bilberrycart.gateway.http

import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.AnswerHead
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.EngineReport
import org.bilberrycart.gateway.model.Header
import org.bilberrycart.gateway.model.Refusal
import org.bilberrycart.gateway.placement.SendOrder

/** A minimal protocol with its own header names. */
internal object TestProtocol : CallProtocol {
    override val probeTarget = "/report"
    override val readinessTarget = "/ready"

    override fun readRequestHead(method: String, target: String, headers: List<Header>) =
        HeadResult.Refused(Refusal.Malformed("not used"))

    override fun upstreamHeaders(order: SendOrder, lastEvent: Long?) =
        listOf(Header("X-Id", order.call.head.requestId))

    override fun readAnswerHead(status: Int, headers: List<Header>) = AnswerHead(
        status = status,
        headers = headers.toPersistentList(),
        requestId = headers.firstOrNull { it.name == "X-Id" }?.value,
        isSigned = headers.any { it.name == "X-Signed" },
        didNotRun = false,
        isMisdirected = false,
    )

    override fun readForwardedHead(status: Int, headers: List<Header>) =
        readAnswerHead(status, headers)

    override fun readEngineReport(body: Body): EngineReport? = body.text()
        .takeIf { it.startsWith("m:") }
        ?.let { EngineReport(persistentSetOf(it.drop(2)), startedAtMillis = null) }

    override fun refusalAnswer(refusal: Refusal, requestId: String?) =
        RefusalAnswer(500, emptyList(), Body.EMPTY)
}
