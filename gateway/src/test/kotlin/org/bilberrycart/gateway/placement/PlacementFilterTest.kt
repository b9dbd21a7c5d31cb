package org.bilberrycart.gateway.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.Samples
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.RepeatRule
import org.bilberrycart.gateway.placement.PlacementRun.Companion.attempt

private data class PlacementCase(
    val name: String,
    val repeat: RepeatRule,
    val upstreams: List<String> = listOf("a", "b"),
    val attempts: Int = 2,
    val before: List<PlacementEvent> = emptyList(),
    val wait: Duration = 10.milliseconds,
    val last: PlacementEvent,
    val actions: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

class PlacementFilterTest :
    FunSpec({
        fun check(case: PlacementCase) {
            val run = PlacementRun()
            run.register(*case.upstreams.toTypedArray())
            run.step(PlacementEvent.Submit(Samples.call(Samples.route(case.repeat, case.attempts))))
            case.before.forEach(run::step)
            run.now += case.wait
            val chosen = run.state.calls[CallKey(1)]?.tried?.map { it.value }.orEmpty()
            run.step(case.last).map { it.replaceOther(chosen) } shouldBe case.actions
        }

        val once = RepeatRule.Once
        val safe = RepeatRule.Idempotent
        val broken = PlacementEvent.Broken(attempt(), "reset")
        val unsent = PlacementEvent.Unsent(attempt(), "refused")

        context("a call that may run once runs at most once") {
            withData(
                PlacementCase(
                    "it is not sent again after its connection broke",
                    once,
                    last = broken,
                    actions = listOf("refuse broken"),
                ),
                PlacementCase(
                    "it goes elsewhere when nothing of it was sent",
                    once,
                    last = unsent,
                    actions = listOf("send other"),
                ),
                PlacementCase(
                    "it goes elsewhere when the upstream says that it did not run",
                    once,
                    last = PlacementEvent.Answered(
                        attempt(),
                        Samples.answer(503, didNotRun = true),
                    ),
                    actions = listOf("send other"),
                ),
                PlacementCase(
                    "a failure of its run is the answer",
                    once,
                    last = PlacementEvent.Answered(attempt(), Samples.answer(500)),
                    actions = listOf("deliver 500"),
                ),
                PlacementCase(
                    "an answer to another call is not delivered",
                    once,
                    last = PlacementEvent.Answered(attempt(), Samples.answer(200, id = "r9")),
                    actions = listOf("refuse broken"),
                ),
                PlacementCase(
                    "an unsigned success is not delivered",
                    once,
                    last = PlacementEvent.Answered(
                        attempt(),
                        Samples.answer(200, isSigned = false),
                    ),
                    actions = listOf("refuse broken"),
                ),
                PlacementCase(
                    "a silent upstream is left in peace until the time is over",
                    once,
                    wait = 1.9.seconds,
                    last = PlacementEvent.Tick,
                    actions = emptyList(),
                ),
                PlacementCase(
                    "when the time is over it may have run",
                    once,
                    wait = 2.seconds,
                    last = PlacementEvent.Tick,
                    actions = listOf("refuse timed out", "cancel 1"),
                ),
                PlacementCase(
                    "an upstream found dead does not free it",
                    once,
                    last = PlacementEvent.Probed(Samples.entry("a").id, false, "reset"),
                    actions = emptyList(),
                ),
            ) { check(it) }
        }

        context("an idempotent call is sent again within its route's limit") {
            withData(
                PlacementCase(
                    "after a reset",
                    safe,
                    last = broken,
                    actions = listOf("send other"),
                ),
                PlacementCase(
                    "after a failed run",
                    safe,
                    last = PlacementEvent.Answered(attempt(), Samples.answer(500)),
                    actions = listOf("send other"),
                ),
                PlacementCase(
                    "the first failure is the answer when no attempt is left",
                    safe,
                    before = listOf(PlacementEvent.Answered(attempt(), Samples.answer(500))),
                    last = PlacementEvent.Broken(attempt(2), "reset"),
                    actions = listOf("deliver 500"),
                ),
                PlacementCase(
                    "a slow upstream gets a rival",
                    safe,
                    wait = 210.milliseconds,
                    last = PlacementEvent.Tick,
                    actions = listOf("send other"),
                ),
                PlacementCase(
                    "without another upstream there is no rival",
                    safe,
                    upstreams = listOf("a"),
                    wait = 210.milliseconds,
                    last = PlacementEvent.Tick,
                    actions = emptyList(),
                ),
                PlacementCase(
                    "the first success ends the rival",
                    safe,
                    wait = 210.milliseconds,
                    before = listOf(),
                    last = PlacementEvent.Answered(attempt(), Samples.answer(200)),
                    actions = listOf("deliver 200"),
                ),
            ) { check(it) }
        }

        context("a call without an upstream") {
            withData(
                PlacementCase(
                    "waits",
                    once,
                    upstreams = emptyList(),
                    last = PlacementEvent.Tick,
                    actions = emptyList(),
                ),
                PlacementCase(
                    "is refused as not run when its objective is nearly over",
                    once,
                    upstreams = emptyList(),
                    wait = 370.milliseconds,
                    last = PlacementEvent.Tick,
                    actions = listOf("refuse not run"),
                ),
            ) { check(it) }
        }

        test("sendings that never arrive use nothing of the repeat budget") {
            val run = PlacementRun(PlacementSettings(repeatRatio = 0.0, repeatSlack = 0.0))
            run.register("a", "b", "c", "d")
            run.step(PlacementEvent.Submit(Samples.call(Samples.route(safe, attempts = 4))))
            val ends = listOf(unsent, PlacementEvent.Unsent(attempt(2), "refused"))
                .flatMap(run::step).map { it.substringBefore(' ') }
            ends shouldBe listOf("send", "send")
            run.step(PlacementEvent.Broken(attempt(3), "reset")) shouldBe listOf("refuse broken")
        }

        context("a caller that leaves") {
            withData(
                PlacementCase(
                    "ends the attempt",
                    safe,
                    last = PlacementEvent.CallerGone(CallKey(1)),
                    actions = listOf("forget", "cancel 1"),
                ),
                PlacementCase(
                    "gets no answer that comes later",
                    safe,
                    before = listOf(PlacementEvent.CallerGone(CallKey(1))),
                    last = PlacementEvent.Answered(attempt(), Samples.answer(200)),
                    actions = emptyList(),
                ),
            ) { check(it) }
        }
    })

/** Names the upstream that was not yet chosen "other", since the first choice is drawn. */
private fun String.replaceOther(chosen: List<String>): String =
    if (startsWith("send ") && removePrefix("send ") !in chosen) "send other" else this
