package org.bilberrycart.gateway

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.AnswerHead
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.CallHead
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.EngineCapabilities
import org.bilberrycart.gateway.model.PromptPartId
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.model.RouteRule
import org.bilberrycart.gateway.model.RoutedCall
import org.bilberrycart.gateway.model.ServiceConfig
import org.bilberrycart.gateway.model.ServiceName
import org.bilberrycart.gateway.model.UpstreamAnswer
import org.bilberrycart.gateway.model.UpstreamEntry
import org.bilberrycart.gateway.model.UpstreamId
import org.bilberrycart.gateway.model.WeightedService

/** Sample values that several tests share. */
object Samples {
    val desk = ServiceName("desk")

    fun head(id: String = "r1", path: String = "/a/x", parts: List<String> = emptyList()) =
        CallHead(
            requestId = id,
            method = "POST",
            target = path,
            host = "club.example",
            headers = persistentListOf(),
            sharedParts = parts.map(::PromptPartId).toPersistentList(),
        )

    fun route(
        retryRule: RetryRule,
        attempts: Int = 2,
        timeout: Duration = 2.seconds,
        objective: Duration = 400.milliseconds,
    ) = RouteRule(
        name = "r",
        host = "club.example",
        prefix = "/a/",
        retryRule = retryRule,
        timeout = timeout,
        objective = objective,
        maxAttempts = attempts,
        isPublic = false,
        targets = persistentListOf(WeightedService(desk, 1)),
    )

    fun service(hasBackups: Boolean = false) = ServiceConfig(
        name = desk,
        healthPath = "/health",
        maxConnections = 100,
        engine = EngineCapabilities(slots = 8, kvCacheTokens = 1000, supportsBackups = hasBackups),
    )

    fun call(
        route: RouteRule,
        key: Long = 1,
        hasBackups: Boolean = false,
        arrivedAt: Duration = Duration.ZERO,
        parts: List<String> = emptyList(),
        body: Body = Body.EMPTY,
    ) = RoutedCall(
        key = CallKey(key),
        head = head("r$key", parts = parts),
        body = body,
        route = route,
        service = service(hasBackups),
        organisation = "club",
        arrivedAt = arrivedAt,
        deadline = arrivedAt + route.timeout,
        callerDeadline = arrivedAt + route.timeout,
    )

    fun entry(
        id: String,
        dataCentre: String = "east",
        isLeaving: Boolean = false,
        born: Long = 1,
        softwareVersion: String? = null,
    ) = UpstreamEntry(
        id = UpstreamId(id),
        service = desk,
        host = "10.0.0.1",
        port = 80,
        dataCentre = dataCentre,
        slots = 8,
        softwareVersion = softwareVersion,
        isLeaving = isLeaving,
        startedAtMillis = born,
    )

    fun answer(
        status: Int,
        id: String? = "r1",
        isSigned: Boolean = true,
        didNotRun: Boolean = false,
    ) = UpstreamAnswer(
        AnswerHead(
            status = status,
            headers = persistentListOf(),
            requestId = id,
            isSigned = isSigned,
            didNotRun = didNotRun,
            isMisdirected = status == 421,
        ),
        Body.of("x"),
    )
}
