package org.bilberrycart.gateway.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.gateway.Samples
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.CallFingerprint
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.model.RouteRule
import org.bilberrycart.gateway.model.RoutedCall
import org.bilberrycart.gateway.model.UpstreamId
import org.bilberrycart.gateway.placement.PlacementRun.Companion.attempt

private sealed class CrashEvent {
    data class Crashed(val upstream: String, val at: Duration = Duration.ZERO) : CrashEvent()

    data class ReportedByPeers(val upstreams: List<String>) : CrashEvent()

    data class Recalled(val upstreams: List<String>) : CrashEvent()

    data class Answered(val at: Duration = 1.seconds) : CrashEvent()
}

private data class CrashHistoryCase(
    val name: String,
    val events: List<CrashEvent>,
    val crashCount: Int,
    val isAllowed: Boolean = true,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private data class CrashingCallCase(
    val name: String,
    val retryRule: RetryRule = RetryRule.Stream(isResumable = true),
    val attempts: Int = 9,
    val events: List<PlacementEvent>,
    val actions: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private data class FingerprintCase(
    val name: String,
    val change: (RoutedCall) -> RoutedCall,
    val isSame: Boolean,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

class CrashHistoryTest :
    FunSpec({
        val content = CallFingerprint(5)

        fun crashed(vararg upstreams: String) = upstreams.map { CrashEvent.Crashed(it) }

        context("upstreams that crash on calls with the same content") {
            withData(
                CrashHistoryCase("no crash is recorded", emptyList(), crashCount = 0),
                CrashHistoryCase(
                    "two different upstreams do not block the call",
                    crashed("a", "b"),
                    2,
                ),
                CrashHistoryCase(
                    "three different upstreams block the call",
                    crashed("a", "b", "c"),
                    3,
                    isAllowed = false,
                ),
                CrashHistoryCase("the same upstream counts once", crashed("a", "b", "b"), 2),
                CrashHistoryCase(
                    "crashes reported by other nodes count too",
                    crashed("a", "b") + CrashEvent.ReportedByPeers(listOf("b", "c", "d")),
                    4,
                    isAllowed = false,
                ),
                CrashHistoryCase(
                    "crashes that ended processes recorded count too",
                    crashed("a", "b") + CrashEvent.Recalled(listOf("b", "c")),
                    3,
                    isAllowed = false,
                ),
                CrashHistoryCase(
                    "an answer clears the crashes of ended processes",
                    listOf(CrashEvent.Recalled(listOf("a", "b", "c")), CrashEvent.Answered()),
                    0,
                ),
                CrashHistoryCase(
                    "an answer clears the crashes of this node",
                    crashed("a", "b", "c", "d") + CrashEvent.Answered(),
                    0,
                ),
                CrashHistoryCase(
                    "an answer clears the crashes reported by other nodes",
                    listOf(
                        CrashEvent.ReportedByPeers(listOf("a", "b", "c", "d")),
                        CrashEvent.Answered(),
                    ),
                    0,
                ),
            ) { case ->
                val history = case.events.fold(CrashHistory()) { history, event ->
                    when (event) {
                        is CrashEvent.Crashed ->
                            history.withCrash(content, runOf(event.upstream), event.at)
                        is CrashEvent.Answered -> history.withAnswer(content, event.at)
                        is CrashEvent.ReportedByPeers -> history.copy(
                            reported = persistentMapOf(content to crashesOf(event.upstreams)),
                        )
                        is CrashEvent.Recalled -> history.copy(
                            recalled = persistentMapOf(content to crashesOf(event.upstreams)),
                        )
                    }
                }
                history.crashCount(content, 2.seconds) shouldBe case.crashCount
                history.allows(content, 2.seconds) shouldBe case.isAllowed
            }
        }

        test("the number of recorded and gossiped contents is limited") {
            val history = (1..1000).fold(CrashHistory()) { history, number ->
                history.withCrash(
                    CallFingerprint(number.toLong()),
                    runOf("a"),
                    number.milliseconds,
                )
            }
            history.local.size shouldBe 64
            history.toGossip(2.seconds).keys shouldBe
                (993..1000).map { CallFingerprint(it.toLong()) }.toSet()
        }

        test("old crashes expire when a new one is recorded") {
            val history = CrashHistory().withCrash(content, runOf("a"), Duration.ZERO)
                .withCrash(CallFingerprint(6), runOf("b"), 11.minutes)
            history.local.keys shouldBe setOf(CallFingerprint(6))
        }

        // Guards against a call that is refused for ever after a few connections broke.
        test("a call is sent again ten minutes after its last crash") {
            val history = (1..4).fold(CrashHistory()) { history, number ->
                history.withCrash(content, runOf("a"), 5.seconds * number)
            }
            listOf(1.minutes, 10.minutes, 11.minutes).map { history.allows(content, it) } shouldBe
                listOf(false, false, true)
            history.toGossip(11.minutes) shouldBe emptyMap()
        }

        context("a call that crashes its upstreams") {
            fun broken(number: Int) = PlacementEvent.AttemptFailed(attempt(number), "reset")
            withData(
                CrashingCallCase(
                    "is sent to three upstreams at most",
                    events = (1..3).map(::broken),
                    actions = listOf("send", "send", "refuse broken"),
                ),
                CrashingCallCase(
                    "is retried further if an upstream answered it in between",
                    events = listOf(
                        broken(1),
                        broken(2),
                        PlacementEvent.StreamOpened(attempt(3)),
                        PlacementEvent.StreamProgressed(attempt(3)),
                        broken(3),
                    ),
                    actions = listOf("send", "send", "send"),
                ),
                CrashingCallCase(
                    "is not cleared by an upstream that fails",
                    RetryRule.Idempotent,
                    events = listOf(
                        broken(1),
                        broken(2),
                        PlacementEvent.Answered(attempt(3), Samples.answer(status = 500)),
                        broken(4),
                    ),
                    actions = listOf("send", "send", "send", "deliver 500"),
                ),
                CrashingCallCase(
                    "does not count upstreams that it never reached",
                    events = (1..5).map { PlacementEvent.Unsent(attempt(it), "refused") },
                    actions = List(5) { "send" },
                ),
            ) { case ->
                val run = runWithNodes()
                val route = crashingRoute(case.retryRule, case.attempts)
                run.step(PlacementEvent.Submit(Samples.call(route)))
                case.events.flatMap(run::step).map { if (it.startsWith("send")) "send" else it }
                    .filterNot { it.startsWith("cancel") } shouldBe case.actions
            }
        }

        test("a call with the same content under another id is refused as not run") {
            val run = runWithNodes()
            val route = crashingRoute(RetryRule.Stream(isResumable = true), attempts = 9)
            run.step(PlacementEvent.Submit(Samples.call(route)))
            (1..3).forEach { run.step(PlacementEvent.AttemptFailed(attempt(it), "reset")) }
            run.step(PlacementEvent.Submit(Samples.call(route, key = 2))) shouldBe
                listOf("refuse not run")
        }

        context("the fingerprint of a call") {
            withData(
                FingerprintCase(
                    "ignores request ids",
                    { Samples.call(it.route, key = 7) },
                    isSame = true,
                ),
                FingerprintCase(
                    "differs between organisations",
                    { it.copy(organisation = "other") },
                    isSame = false,
                ),
                FingerprintCase(
                    "differs between bodies",
                    { it.copy(body = Body.of("x")) },
                    isSame = false,
                ),
                FingerprintCase(
                    "differs between targets",
                    { it.copy(head = it.head.copy(target = "/a/y")) },
                    isSame = false,
                ),
            ) { case ->
                val call = Samples.call(Samples.route(RetryRule.Idempotent))
                val isSame = CallFingerprint.of(case.change(call)) == CallFingerprint.of(call)
                isSame shouldBe case.isSame
            }
        }
    })

private fun runOf(upstream: String) = Incarnation(UpstreamId(upstream), startedAtMillis = 1)

private fun crashesOf(upstreams: List<String>) = upstreams.map { UpstreamCrash(runOf(it)) }.toSet()

private fun crashingRoute(retryRule: RetryRule, attempts: Int): RouteRule =
    Samples.route(retryRule, attempts, timeout = 25.seconds, objective = 4.seconds)

/**
 * Returns a run with six upstreams and three peers, whose process started long ago, so that the
 * retry slack is not used up.
 */
private fun runWithNodes(): PlacementRun = PlacementRun(startedAt = -1.minutes).apply {
    register("a", "b", "c", "d", "e", "f")
    val share = NodeShare("me", setOf("x", "y", "z"))
    step(PlacementEvent.PeerReport(persistentMapOf(), persistentMapOf(), share = share))
}
