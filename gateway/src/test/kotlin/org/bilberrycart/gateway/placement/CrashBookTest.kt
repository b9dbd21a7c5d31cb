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
import org.bilberrycart.gateway.model.RepeatRule
import org.bilberrycart.gateway.model.RouteRule
import org.bilberrycart.gateway.model.RoutedCall
import org.bilberrycart.gateway.model.UpstreamId
import org.bilberrycart.gateway.placement.PlacementRun.Companion.attempt

private sealed class CrashEvent {
    data class Struck(val upstream: String, val at: Duration = Duration.ZERO) : CrashEvent()

    data class Told(val upstreams: List<String>) : CrashEvent()

    data class Answered(val at: Duration = 1.seconds) : CrashEvent()
}

private data class BookCase(
    val name: String,
    val events: List<CrashEvent>,
    val strikes: Int,
    val isAllowed: Boolean = true,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private data class SuspectCase(
    val name: String,
    val repeat: RepeatRule = RepeatRule.Stream(isResumable = true),
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

class CrashBookTest :
    FunSpec({
        val content = CallFingerprint(5)

        fun struck(vararg upstreams: String) = upstreams.map { CrashEvent.Struck(it) }

        context("losses at the start of calls with one content") {
            withData(
                BookCase("none", emptyList(), strikes = 0),
                BookCase("three different upstreams may be chance", struck("a", "b", "c"), 3),
                BookCase("four are not", struck("a", "b", "c", "d"), 4, isAllowed = false),
                BookCase("the same upstream counts once", struck("a", "b", "c", "c"), 3),
                BookCase(
                    "what other nodes saw counts too",
                    struck("a", "b") + CrashEvent.Told(listOf("b", "c", "d")),
                    4,
                    isAllowed = false,
                ),
                BookCase(
                    "an answer clears it",
                    struck("a", "b", "c", "d") + CrashEvent.Answered(),
                    0,
                ),
                BookCase(
                    "also of what others saw",
                    listOf(CrashEvent.Told(listOf("a", "b", "c", "d")), CrashEvent.Answered()),
                    0,
                ),
            ) { case ->
                val book = case.events.fold(CrashBook()) { book, event ->
                    when (event) {
                        is CrashEvent.Struck ->
                            book.struck(content, UpstreamId(event.upstream), event.at)
                        is CrashEvent.Answered -> book.answered(content, event.at)
                        is CrashEvent.Told -> book.copy(
                            told = persistentMapOf(
                                content to event.upstreams.map(::UpstreamId).toSet(),
                            ),
                        )
                    }
                }
                book.strikes(content) shouldBe case.strikes
                book.allows(content) shouldBe case.isAllowed
            }
        }

        test("the book stays small") {
            val book = (1..1000).fold(CrashBook()) { book, number ->
                book.struck(CallFingerprint(number.toLong()), UpstreamId("a"), number.milliseconds)
            }
            book.own.size shouldBe 64
            book.toTell().keys shouldBe (993..1000).map { CallFingerprint(it.toLong()) }.toSet()
        }

        test("old losses leave the book when others come") {
            val book = CrashBook().struck(content, UpstreamId("a"), Duration.ZERO)
                .struck(CallFingerprint(6), UpstreamId("b"), 11.minutes)
            book.own.keys shouldBe setOf(CallFingerprint(6))
        }

        context("a call that breaks its upstreams") {
            fun broken(number: Int) = PlacementEvent.Broken(attempt(number), "reset")
            withData(
                SuspectCase(
                    "is sent to four and no more",
                    events = (1..4).map(::broken),
                    actions = listOf("send", "send", "send", "refuse broken"),
                ),
                SuspectCase(
                    "goes on when it was answered in between",
                    events = listOf(
                        broken(1),
                        broken(2),
                        broken(3),
                        PlacementEvent.StreamOpened(attempt(4)),
                        PlacementEvent.StreamMoved(attempt(4)),
                        broken(4),
                    ),
                    actions = listOf("send", "send", "send", "send"),
                ),
                SuspectCase(
                    "is not blamed for upstreams that were never reached",
                    events = (1..5).map { PlacementEvent.Unsent(attempt(it), "refused") },
                    actions = List(5) { "send" },
                ),
            ) { case ->
                val run = runWithNodes()
                val route = suspectRoute(case.repeat, case.attempts)
                run.step(PlacementEvent.Submit(Samples.call(route)))
                case.events.flatMap(run::step).map { if (it.startsWith("send")) "send" else it }
                    .filterNot { it.startsWith("cancel") } shouldBe case.actions
            }
        }

        test("the same content under another id is refused as not run") {
            val run = runWithNodes()
            val route = suspectRoute(RepeatRule.Stream(isResumable = true), attempts = 9)
            run.step(PlacementEvent.Submit(Samples.call(route)))
            (1..4).forEach { run.step(PlacementEvent.Broken(attempt(it), "reset")) }
            run.step(PlacementEvent.Submit(Samples.call(route, key = 2))) shouldBe
                listOf("refuse not run")
        }

        context("the fingerprint of a call") {
            withData(
                FingerprintCase("ignores ids", { Samples.call(it.route, key = 7) }, isSame = true),
                FingerprintCase(
                    "tells callers apart",
                    { it.copy(organisation = "other") },
                    isSame = false,
                ),
                FingerprintCase(
                    "tells bodies apart",
                    { it.copy(body = Body.of("x")) },
                    isSame = false,
                ),
                FingerprintCase(
                    "tells targets apart",
                    { it.copy(head = it.head.copy(target = "/a/y")) },
                    isSame = false,
                ),
            ) { case ->
                val call = Samples.call(Samples.route(RepeatRule.Idempotent))
                val isSame = CallFingerprint.of(case.change(call)) == CallFingerprint.of(call)
                isSame shouldBe case.isSame
            }
        }

        context("this node's part of the shared slack") {
            withData(
                nameFn = { (nodes, slack) -> "$nodes nodes: $slack" },
                (null as Int?) to 2.34375,
                1 to 18.75,
                4 to 18.75,
                32 to 2.34375,
            ) { (nodes, slack) ->
                PlacementSettings(repeatSlack = 150.0).slack(nodes) shouldBe slack
            }
        }
    })

private fun suspectRoute(repeat: RepeatRule, attempts: Int): RouteRule =
    Samples.route(repeat, attempts, timeout = 25.seconds, objective = 4.seconds)

/** A run with enough upstreams, and with the few nodes among which the repeat budget is shared. */
private fun runWithNodes(): PlacementRun = PlacementRun().apply {
    register("a", "b", "c", "d", "e", "f")
    val share = NodeShare("me", setOf("x", "y", "z"))
    step(PlacementEvent.LoadElsewhere(persistentMapOf(), persistentMapOf(), share = share))
}
