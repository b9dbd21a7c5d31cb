package org.bilberrycart.bench.traffic

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.shouldBe
import kotlin.time.DurationUnit
import org.bilberrycart.model.RequestClass

private val plan = TrafficPlan(
    seed = 5,
    durationSeconds = 1_000.0,
    ratePerSecond = 10.0,
    organisations = mapOf("large" to 8.0, "small" to 2.0),
    classes = listOf(
        TrafficClass(RequestClass.SHORT_QUESTION, share = 3.0, medianTokens = 20),
        TrafficClass(RequestClass.LONG_DRAFT, share = 1.0, medianTokens = 200, spread = 1.0),
    ),
)

private data class ShareCase(
    val name: String,
    val share: Double,
    val matches: (Arrival) -> Boolean,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

class TrafficPlanTest :
    FunSpec({
        test("the same seed gives the same arrivals and another seed others") {
            plan.arrivals() shouldBe plan.arrivals()
            (plan.copy(seed = 6).arrivals() == plan.arrivals()) shouldBe false
        }

        test("arrivals are numbered in order of time and each prompt is unique") {
            val arrivals = plan.arrivals()
            arrivals.map { it.number } shouldBe arrivals.indices.toList()
            arrivals.map { it.at } shouldBe arrivals.map { it.at }.sorted()
            arrivals.map { it.prompt }.toSet().size shouldBe arrivals.size
        }

        context("the share of arrivals that") {
            withData(
                ShareCase("are of the large organisation", 0.8) {
                    it.organisation.value == "large"
                },
                ShareCase("are short questions", 0.75) {
                    it.requestClass == RequestClass.SHORT_QUESTION
                },
                ShareCase("ask for more tokens than the median of long drafts", 0.125) {
                    it.maxTokens > 200
                },
            ) { case ->
                val arrivals = plan.arrivals()
                val share = arrivals.count(case.matches).toDouble() / arrivals.size
                share.shouldBeBetween(case.share, case.share, 0.02)
            }
        }

        test("a surge multiplies only the arrivals of its organisation") {
            val surge = Surge("small", fromSeconds = 500.0, untilSeconds = 600.0, factor = 10.0)
            val counts = plan.copy(surges = listOf(surge)).arrivals()
                .filter { it.at.toDouble(DurationUnit.SECONDS) in 500.0..600.0 }
                .groupingBy { it.organisation.value }.eachCount()
            counts.getValue("small").toDouble().shouldBeBetween(2_000.0, 2_000.0, 200.0)
            counts.getValue("large").toDouble().shouldBeBetween(800.0, 800.0, 120.0)
        }

        test("arrivals of a surging organisation are marked, those of others are not") {
            val surge = Surge("small", fromSeconds = 500.0, untilSeconds = 600.0, factor = 10.0)
            plan.copy(surges = listOf(surge)).arrivals()
                .groupBy({ it.organisation.value }, { it.isSurging })
                .mapValues { it.value.toSet() } shouldBe
                mapOf("large" to setOf(false), "small" to setOf(true))
        }
    })
