package org.bilberrycart.gateway.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.Samples
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.model.UpstreamId
import org.bilberrycart.gateway.placement.PlacementRun.Companion.attempt

private data class StreamCase(
    val name: String,
    val isResumable: Boolean = true,
    val before: List<PlacementEvent> = emptyList(),
    val wait: Duration = 10.milliseconds,
    val last: PlacementEvent,
    val actions: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

/**
 * Tests the placement of streams on two upstreams, "a" in data centre x and "b" in y. One runs the
 * stream and the other holds its KV cache copy.
 */
class StreamPlacementTest :
    FunSpec({
        fun check(case: StreamCase) {
            val run = PlacementRun()
            run.register("ax")
            val route = Samples.route(
                RetryRule.Stream(case.isResumable),
                attempts = 5,
                timeout = 25.seconds,
                objective = 4.seconds,
            )
            run.register("ax", "by")
            run.step(PlacementEvent.Submit(Samples.call(route, hasBackups = true)))
            val first = run.state.calls.values.single().attempts.values.single().upstream
            case.before.forEach(run::step)
            run.now += case.wait
            run.step(case.last).map { it.relativeTo(first) } shouldBe case.actions
        }

        val opened = listOf(
            PlacementEvent.StreamOpened(attempt()),
            PlacementEvent.StreamProgressed(attempt()),
        )

        context("a stream that is lost") {
            withData(
                StreamCase(
                    "resumes from its KV cache copy after a connection reset",
                    before = opened,
                    last = PlacementEvent.AttemptFailed(attempt(), "reset"),
                    actions = listOf("send second from r1"),
                ),
                StreamCase(
                    "restarts from the prompt if the holder of the copy refuses the resume",
                    before = opened + PlacementEvent.AttemptFailed(attempt(), "reset"),
                    last = PlacementEvent.Answered(
                        attempt(2),
                        Samples.answer(503, didNotRun = true),
                    ),
                    actions = listOf("send second newly connected"),
                ),
                StreamCase(
                    "reports the length of the interruption at its next event",
                    before = opened + PlacementEvent.AttemptFailed(attempt(), "reset"),
                    last = PlacementEvent.StreamProgressed(attempt(2)),
                    actions = listOf("resumed 10"),
                ),
                StreamCase(
                    "is aborted if its route does not allow resuming",
                    isResumable = false,
                    before = opened,
                    last = PlacementEvent.AttemptFailed(attempt(), "reset"),
                    actions = listOf("abort"),
                ),
                StreamCase(
                    "is aborted, not refused, if it opened after its attempt was given up",
                    before = listOf(
                        PlacementEvent.AttemptFailed(attempt(), "probe not answered"),
                        PlacementEvent.StreamOpened(attempt()),
                        PlacementEvent.AttemptFailed(attempt(2), "reset"),
                    ),
                    wait = 25.seconds,
                    last = PlacementEvent.Tick,
                    actions = listOf("abort"),
                ),
            ) { check(it) }
        }

        context("a stream without events") {
            withData(
                StreamCase(
                    "causes no action before the silence limit",
                    before = opened,
                    wait = 200.milliseconds,
                    last = PlacementEvent.Tick,
                    actions = emptyList(),
                ),
                StreamCase(
                    "has its upstream probed after the silence limit",
                    before = opened,
                    wait = 230.milliseconds,
                    last = PlacementEvent.Tick,
                    actions = listOf("probe first"),
                ),
            ) { check(it) }
        }

        test("a KV cache copy is used even while its holder is being probed") {
            val run = PlacementRun()
            run.register("ax", "by")
            val route = Samples.route(RetryRule.Stream(true), 5, 25.seconds, 4.seconds)
            run.step(PlacementEvent.Submit(Samples.call(route, hasBackups = true)))
            opened.forEach(run::step)
            val second = Samples.call(route, key = 2, hasBackups = true)
            run.now += 230.milliseconds
            run.step(PlacementEvent.Submit(second))
            run.step(PlacementEvent.StreamProgressed(attempt()))
            run.now += 810.milliseconds
            run.step(PlacementEvent.StreamProgressed(attempt()))
            run.step(PlacementEvent.Tick).map { it.substringBefore(' ') } shouldBe listOf("probe")
            run.step(PlacementEvent.AttemptFailed(attempt(), "reset")).single() shouldContain
                "from r1"
        }

        test("streams move from an upstream that does not answer a probe") {
            val run = PlacementRun()
            run.register("ax", "by")
            val route = Samples.route(RetryRule.Stream(true), 5, 25.seconds, 4.seconds)
            run.step(PlacementEvent.Submit(Samples.call(route, hasBackups = true)))
            opened.forEach(run::step)
            run.advance(230.milliseconds).size shouldBe 1
            run.advance(140.milliseconds) shouldBe emptyList()
            run.advance(20.milliseconds).map { it.substringBefore(' ') } shouldBe
                listOf("cancel", "send")
        }

        test("a node that was short of processor time gives an upstream that much more time") {
            val run = PlacementRun()
            run.register("ax", "by")
            val route = Samples.route(RetryRule.Stream(true), 5, 25.seconds, 4.seconds)
            run.step(PlacementEvent.Submit(Samples.call(route, hasBackups = true)))
            opened.forEach(run::step)
            run.advance(40.milliseconds)
            run.now += 300.milliseconds
            run.step(PlacementEvent.Tick) shouldBe emptyList()
            run.step(PlacementEvent.StreamProgressed(attempt())) shouldBe emptyList()
            run.advance(220.milliseconds) shouldBe emptyList()
            run.advance(200.milliseconds).map { it.substringBefore(' ') } shouldBe listOf("probe")
        }
    })

private fun String.relativeTo(first: UpstreamId): String = split(' ').joinToString(" ") {
    when (it) {
        first.value -> "first"
        "a", "b" -> "second"
        else -> it
    }
}
