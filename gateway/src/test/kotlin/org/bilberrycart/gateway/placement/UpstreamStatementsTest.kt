package org.bilberrycart.gateway.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.days
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.Samples
import org.bilberrycart.gateway.model.Refusal
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.model.RouteRule
import org.bilberrycart.gateway.model.UpstreamEntry
import org.bilberrycart.gateway.model.UpstreamId
import org.bilberrycart.gateway.placement.PlacementRun.Companion.attempt
import org.bilberrycart.pipeline.Step

/**
 * Calls that follow a statement of the upstream `a`, beside `b` that states nothing.
 *
 * @property events what happens after the statement.
 * @property wait the time from the last event to the calls.
 * @property reached the upstreams that the calls are sent to.
 */
private data class StatementCase(
    val name: String,
    val statement: PlacementEvent.UpstreamStated,
    val events: List<PlacementEvent> = emptyList(),
    val wait: Duration = 10.milliseconds,
    val reached: Set<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

/** A call while the only upstream is paused for [pause]. */
private data class PausedServiceCase(val pause: Duration, val isRefused: Boolean) :
    WithDataTestName {
    override fun dataTestName(): String = "a pause of $pause"
}

private const val CALLS = 24
private val NO_ACTIONS = persistentListOf<PlacementAction>()

private fun stated(isLeaving: Boolean = false, pause: Duration? = null) =
    PlacementEvent.UpstreamStated(UpstreamId("a"), isLeaving, pause)

private fun listed(vararg entries: UpstreamEntry) =
    PlacementEvent.UpstreamsListed(entries.toList().toPersistentList())

class UpstreamStatementsTest :
    FunSpec({
        val leaves = stated(isLeaving = true)
        val a = Samples.entry("a").copy(host = "host-a")
        val b = Samples.entry("b").copy(host = "host-b")
        val both = setOf("a", "b")

        fun PlacementRun.reached(): Set<String> {
            val route = Samples.route(RetryRule.AtMostOnce)
            val sent = (1L..CALLS).map { key ->
                step(PlacementEvent.Submit(Samples.call(route, key + 1, arrivedAt = now))).single()
            }
            return sent.map { it.removePrefix("send ") }.toSet()
        }

        // Guards against calls to an upstream that has said that it leaves or wants none.
        withData(
            StatementCase("an upstream that leaves gets no calls", leaves, reached = setOf("b")),
            StatementCase(
                "whatever the registry says of it",
                leaves,
                listOf(listed(a.copy(slots = 9), b)),
                reached = setOf("b"),
            ),
            StatementCase(
                "also if its entry is away for a while",
                leaves,
                listOf(listed(b), listed(a, b)),
                reached = setOf("b"),
            ),
            StatementCase("for good", leaves, wait = 90.seconds, reached = setOf("b")),
            StatementCase(
                "a later answer without the statement changes nothing",
                leaves,
                listOf(stated(pause = 0.seconds)),
                reached = setOf("b"),
            ),
            StatementCase(
                "a new process under the same id is another upstream",
                leaves,
                listOf(listed(a.copy(startedAtMillis = 2), b)),
                reached = both,
            ),
            StatementCase(
                "a new upstream at the same address is another one",
                leaves,
                listOf(listed(a, Samples.entry("c").copy(host = "host-a"))),
                reached = setOf("c"),
            ),
            StatementCase(
                "an upstream that is paused gets no calls",
                stated(pause = 2.seconds),
                wait = 1.95.seconds,
                reached = setOf("b"),
            ),
            StatementCase(
                "until its pause ends",
                stated(pause = 2.seconds),
                wait = 2.25.seconds,
                reached = both,
            ),
            StatementCase(
                "a shorter pause replaces a longer one",
                stated(pause = 30.seconds),
                listOf(stated(pause = 1.seconds)),
                wait = 1.2.seconds,
                reached = both,
            ),
            StatementCase(
                "a longer pause replaces a shorter one",
                stated(pause = 1.seconds),
                listOf(stated(pause = 3.seconds)),
                wait = 2.seconds,
                reached = setOf("b"),
            ),
            StatementCase(
                "a pause of years is bounded",
                stated(pause = 4000.days),
                wait = 70.seconds,
                reached = both,
            ),
        ) { case ->
            val run = PlacementRun()
            run.step(listed(a, b))
            run.step(case.statement)
            case.events.forEach(run::step)
            run.now += case.wait
            run.reached() shouldBe case.reached
        }

        context("a service whose upstreams are all paused refuses what it can't serve in time") {
            val route: RouteRule = Samples.route(RetryRule.AtMostOnce, objective = 400.milliseconds)
            withData(
                PausedServiceCase(100.milliseconds, isRefused = false),
                PausedServiceCase(2.seconds, isRefused = true),
                PausedServiceCase(20.seconds, isRefused = true),
            ) { case ->
                val filter = PlacementFilter()
                val events = listOf(
                    listed(a),
                    stated(pause = case.pause),
                    PlacementEvent.Submit(Samples.call(route, arrivedAt = 1.seconds)),
                )
                val steps = events.runningFold(Step(PlacementState(), NO_ACTIONS)) { step, event ->
                    filter.step(step.state, event, 1.seconds)
                }
                val last = steps.last().actions
                val refusals = last.filterIsInstance<PlacementAction.Refuse>().map { it.refusal }
                refusals.map { it is Refusal.NotRun } shouldBe
                    if (case.isRefused) listOf(true) else emptyList()
                refusals.filterIsInstance<Refusal.NotRun>().all {
                    it.retryAfter in case.pause..case.pause * 1.5
                } shouldBe true
            }
        }

        test("streams under way go on at an upstream that leaves or is paused") {
            val run = PlacementRun()
            run.step(listed(a))
            val route = Samples.route(RetryRule.Stream(true), 5, 25.seconds, 4.seconds)
            run.step(PlacementEvent.Submit(Samples.call(route)))
            run.step(PlacementEvent.StreamOpened(attempt()))
            run.step(stated(isLeaving = true, pause = 5.seconds)) shouldBe emptyList()
            repeat(10) {
                run.step(PlacementEvent.StreamProgressed(attempt())) shouldBe emptyList()
                run.advance(400.milliseconds) shouldBe emptyList()
            }
            run.step(PlacementEvent.StreamCompleted(attempt())) shouldBe listOf("forget")
        }
    })
