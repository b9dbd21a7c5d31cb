package org.bilberrycart.gateway.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.gateway.Samples
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.placement.PlacementRun.Companion.attempt

private data class PlacementCase(
    val name: String,
    val retryRule: RetryRule,
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
            run.step(
                PlacementEvent.Submit(Samples.call(Samples.route(case.retryRule, case.attempts))),
            )
            case.before.forEach(run::step)
            run.now += case.wait
            val chosen = run.state.calls[CallKey(1)]?.triedUpstreams?.map { it.value }.orEmpty()
            run.step(case.last).map { it.replaceOther(chosen) } shouldBe case.actions
        }

        val atMostOnce = RetryRule.AtMostOnce
        val idempotent = RetryRule.Idempotent
        val broken = PlacementEvent.AttemptFailed(attempt(), "reset")
        val unsent = PlacementEvent.Unsent(attempt(), "refused")

        context("a call that is not idempotent runs at most once") {
            withData(
                PlacementCase(
                    "it is not retried after its connection broke",
                    atMostOnce,
                    last = broken,
                    actions = listOf("refuse broken"),
                ),
                PlacementCase(
                    "it is retried if nothing of it was sent",
                    atMostOnce,
                    last = unsent,
                    actions = listOf("send other"),
                ),
                PlacementCase(
                    "it is retried if the upstream states that it did not run",
                    atMostOnce,
                    last = PlacementEvent.Answered(
                        attempt(),
                        Samples.answer(503, didNotRun = true),
                    ),
                    actions = listOf("send other"),
                ),
                PlacementCase(
                    "an error answer is delivered",
                    atMostOnce,
                    last = PlacementEvent.Answered(attempt(), Samples.answer(500)),
                    actions = listOf("deliver 500"),
                ),
                PlacementCase(
                    "an answer to another call is not delivered",
                    atMostOnce,
                    last = PlacementEvent.Answered(attempt(), Samples.answer(200, id = "r9")),
                    actions = listOf("refuse broken"),
                ),
                PlacementCase(
                    "an unsigned success is not delivered",
                    atMostOnce,
                    last = PlacementEvent.Answered(
                        attempt(),
                        Samples.answer(200, isSigned = false),
                    ),
                    actions = listOf("refuse broken"),
                ),
                PlacementCase(
                    "a silent upstream is not given up before the deadline",
                    atMostOnce,
                    wait = 1.9.seconds,
                    last = PlacementEvent.Tick,
                    actions = emptyList(),
                ),
                PlacementCase(
                    "it times out at the deadline",
                    atMostOnce,
                    wait = 2.seconds,
                    last = PlacementEvent.Tick,
                    actions = listOf("refuse timed out", "cancel 1"),
                ),
                PlacementCase(
                    "it is not retried when a probe of its upstream fails",
                    atMostOnce,
                    last = PlacementEvent.Probed(Samples.entry("a").id, false, "reset"),
                    actions = emptyList(),
                ),
            ) { check(it) }
        }

        context("an idempotent call is retried within the limit of its route") {
            withData(
                PlacementCase(
                    "after a connection reset",
                    idempotent,
                    last = broken,
                    actions = listOf("send other"),
                ),
                PlacementCase(
                    "after an error answer",
                    idempotent,
                    last = PlacementEvent.Answered(attempt(), Samples.answer(500)),
                    actions = listOf("send other"),
                ),
                PlacementCase(
                    "the first error answer is delivered when no attempt is left",
                    idempotent,
                    before = listOf(PlacementEvent.Answered(attempt(), Samples.answer(500))),
                    last = PlacementEvent.AttemptFailed(attempt(2), "reset"),
                    actions = listOf("deliver 500"),
                ),
                PlacementCase(
                    "a slow attempt is hedged",
                    idempotent,
                    wait = 210.milliseconds,
                    last = PlacementEvent.Tick,
                    actions = listOf("send other"),
                ),
                PlacementCase(
                    "a slow attempt is not hedged without another upstream",
                    idempotent,
                    upstreams = listOf("a"),
                    wait = 210.milliseconds,
                    last = PlacementEvent.Tick,
                    actions = emptyList(),
                ),
                PlacementCase(
                    "the first success is delivered",
                    idempotent,
                    wait = 210.milliseconds,
                    before = listOf(),
                    last = PlacementEvent.Answered(attempt(), Samples.answer(200)),
                    actions = listOf("deliver 200"),
                ),
            ) { check(it) }
        }

        // Guards against a late copy of a rejection that is taken for the next attempt's answer.
        context("an attempt at an address that had the call before uses a new connection") {
            val rejected = PlacementEvent.Answered(
                attempt(),
                Samples.answer(503, didNotRun = true),
            )
            withData(
                PlacementCase(
                    "after a rejection by the only upstream",
                    atMostOnce,
                    upstreams = listOf("a"),
                    last = rejected,
                    actions = listOf("send a newly connected"),
                ),
                PlacementCase(
                    "after an error of the only upstream",
                    idempotent,
                    upstreams = listOf("a"),
                    last = PlacementEvent.Answered(attempt(), Samples.answer(500)),
                    actions = listOf("send a newly connected"),
                ),
                PlacementCase(
                    "but not at another upstream",
                    atMostOnce,
                    last = rejected,
                    actions = listOf("send other"),
                ),
            ) { check(it) }

            test("also at an upstream that took over the address") {
                val run = PlacementRun()
                val entries = listOf("a", "b").map { Samples.entry(it) }
                run.step(PlacementEvent.UpstreamsListed(persistentListOf(entries.first())))
                run.step(PlacementEvent.Submit(Samples.call(Samples.route(atMostOnce))))
                run.step(PlacementEvent.UpstreamsListed(persistentListOf(entries.last())))
                run.step(rejected) shouldBe listOf("send b newly connected")
            }
        }

        context("a call without an upstream") {
            withData(
                PlacementCase(
                    "waits for an upstream",
                    atMostOnce,
                    upstreams = emptyList(),
                    last = PlacementEvent.Tick,
                    actions = emptyList(),
                ),
                PlacementCase(
                    "is refused as not run after 0.9 of the objective",
                    atMostOnce,
                    upstreams = emptyList(),
                    wait = 370.milliseconds,
                    last = PlacementEvent.Tick,
                    actions = listOf("refuse not run"),
                ),
            ) { check(it) }
        }

        test("dispatches that reach no upstream do not use the retry budget") {
            val run = PlacementRun(PlacementSettings(retryRatio = 0.0, retrySlack = 0.0))
            run.register("a", "b", "c", "d")
            run.step(PlacementEvent.Submit(Samples.call(Samples.route(idempotent, attempts = 4))))
            val actions = listOf(unsent, PlacementEvent.Unsent(attempt(2), "refused"))
                .flatMap(run::step).map { it.substringBefore(' ') }
            actions shouldBe listOf("send", "send")
            run.step(PlacementEvent.AttemptFailed(attempt(3), "reset")) shouldBe
                listOf("refuse broken")
        }

        context("a caller that disconnects") {
            withData(
                PlacementCase(
                    "cancels the attempt",
                    idempotent,
                    last = PlacementEvent.CallerGone(CallKey(1)),
                    actions = listOf("forget", "cancel 1"),
                ),
                PlacementCase(
                    "receives no later answer",
                    idempotent,
                    before = listOf(PlacementEvent.CallerGone(CallKey(1))),
                    last = PlacementEvent.Answered(attempt(), Samples.answer(200)),
                    actions = emptyList(),
                ),
            ) { check(it) }
        }
    })

/** Replaces the name of an untried upstream by "other", as the first selection is random. */
private fun String.replaceOther(chosen: List<String>): String =
    if (startsWith("send ") && split(" ")[1] !in chosen) "send other" else this
