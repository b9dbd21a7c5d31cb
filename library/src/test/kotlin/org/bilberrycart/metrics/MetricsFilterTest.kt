package org.bilberrycart.metrics

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.collections.shouldHaveAtMostSize
import io.kotest.matchers.maps.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.metrics.MetricsAction.Observe
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass.LONG_DRAFT
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode

private val request = RequestId("r-1")
private val club = OrganisationId("club")
private val clubSeries = OrganisationSeries.Named(club)
private val admitted = MetricsEvent.Admitted(request, club, LONG_DRAFT, arrivedAt = 1.seconds)

private fun released(millis: Int, tokens: Int = 1) =
    MetricsEvent.Released(request, tokens, at = millis.milliseconds)

private fun observe(measure: Measure, millis: Int, count: Int = 1) =
    Observe(clubSeries, LONG_DRAFT, measure, millis.milliseconds, count)

private data class WaitCase(
    val name: String,
    val events: List<MetricsEvent>,
    val observed: List<Observe>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private class Run(maxSeries: Int = 2, maxTracked: Int = 10) {
    private val filter = MetricsFilter(maxSeries, maxTracked)
    var state = MetricsState()
    var actions = listOf<MetricsAction>()

    fun send(event: MetricsEvent, now: Duration = Duration.ZERO) = apply {
        val step = filter.step(state, event, now)
        state = step.state
        actions = actions + step.actions
    }

    fun sendRequests(organisation: String, count: Int) = repeat(count) {
        val id = RequestId("$organisation-$it-${state.minuteStart}")
        send(MetricsEvent.Admitted(id, OrganisationId(organisation), LONG_DRAFT, Duration.ZERO))
        send(MetricsEvent.Ended(id, code = null, at = 1.seconds))
    }

    fun named() = state.largest.named.map { it.value }.toSet()
}

class MetricsFilterTest :
    FunSpec({
        context("latencies are measured as callers experience them") {
            withData(
                WaitCase(
                    "a first token, then further ones",
                    listOf(admitted, released(1_400), released(1_450)),
                    listOf(observe(Measure.FIRST_TOKEN, 400), observe(Measure.INTER_TOKEN, 50)),
                ),
                WaitCase(
                    "several tokens released together",
                    listOf(admitted, released(1_400), released(1_450, tokens = 3)),
                    listOf(
                        observe(Measure.FIRST_TOKEN, 400),
                        observe(Measure.INTER_TOKEN, 50),
                        observe(Measure.INTER_TOKEN, 0, count = 2),
                    ),
                ),
                WaitCase(
                    "a resumed generation",
                    listOf(admitted, MetricsEvent.Resumed(request, 80.milliseconds)),
                    listOf(observe(Measure.RESUME, 80)),
                ),
                WaitCase(
                    "a complete answer",
                    listOf(admitted, MetricsEvent.Ended(request, code = null, at = 3.seconds)),
                    listOf(observe(Measure.WHOLE_ANSWER, 2_000)),
                ),
                WaitCase(
                    "a failed answer is not measured",
                    listOf(
                        admitted,
                        MetricsEvent.Ended(request, ResultCode.CANCELLED, at = 3.seconds),
                    ),
                    emptyList(),
                ),
                WaitCase("a request that was never admitted", listOf(released(10)), emptyList()),
            ) { case ->
                val run = Run()
                case.events.forEach { run.send(it) }
                run.actions.filterIsInstance<Observe>() shouldBe case.observed
            }
        }

        test("a request is removed from the state when it ends") {
            Run().send(admitted).send(MetricsEvent.Ended(request, null, 2.seconds))
                .state.inFlight shouldHaveSize 0
        }

        test("requests beyond the tracked number are only counted") {
            val run = Run(maxTracked = 1).send(admitted)
                .send(admitted.copy(request = RequestId("r-2")))
            run.state.inFlight shouldHaveSize 1
            run.actions.last() shouldBe MetricsAction.CountUntracked
        }

        test("a request whose end event was lost is eventually dropped") {
            Run().send(admitted).send(MetricsEvent.Tick, now = 180.minutes)
                .state.inFlight shouldHaveSize 0
        }

        test("the largest organisations are named, and one that falls behind is removed") {
            val run = Run(maxSeries = 2)
            run.sendRequests("small", 1)
            run.sendRequests("medium", 10)
            run.sendRequests("large", 100)
            run.named() shouldBe setOf("small", "medium")
            run.send(MetricsEvent.Tick, now = 1.minutes)
            run.named() shouldBe setOf("medium", "large")
            run.actions.filterIsInstance<MetricsAction.RemoveSeries>().map {
                it.series.label
            } shouldBe
                listOf("small")
        }

        test("organisations of similar size do not replace each other") {
            val run = Run(maxSeries = 1)
            run.sendRequests("first", 10)
            run.sendRequests("second", 12)
            run.send(MetricsEvent.Tick, now = 1.minutes)
            run.named() shouldBe setOf("first")
        }

        test("the number of named organisations stays within the limit") {
            val run = Run(maxSeries = 5)
            repeat(3) { minute ->
                repeat(500) { run.sendRequests("o-$it", 1 + (it * 7 + minute) % 11) }
                run.send(MetricsEvent.Tick, now = (minute + 1).minutes)
                run.named() shouldHaveAtMostSize 5
            }
        }

        test("the worst minute counts for an hour") {
            val run = Run().send(admitted).send(released(9_000))
            run.send(MetricsEvent.Tick, now = 1.minutes)
            val worst = run.actions.filterIsInstance<MetricsAction.SetWorstMinute>().last().wait
            (worst >= 8.seconds && worst <= 9.seconds) shouldBe true
            (2..60).forEach { run.send(MetricsEvent.Tick, now = it.minutes) }
            run.actions.filterIsInstance<MetricsAction.SetWorstMinute>().last().wait shouldBe worst
            run.send(MetricsEvent.Tick, now = 61.minutes)
            run.actions.filterIsInstance<MetricsAction.SetWorstMinute>().last().wait shouldBe
                Duration.ZERO
        }
    })
