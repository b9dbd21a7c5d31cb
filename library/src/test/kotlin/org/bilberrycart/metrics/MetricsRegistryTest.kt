package org.bilberrycart.metrics

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import kotlin.time.Duration.Companion.milliseconds
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.ResultCode
import org.bilberrycart.pipeline.RingStats

private val club = OrganisationSeries.Named(OrganisationId("club"))
private val wait =
    MetricsAction.Observe(club, RequestClass.CHECK, Measure.FIRST_TOKEN, 30.milliseconds, 2)
private const val CLUB_COUNT =
    """bilberrycart_first_token_seconds_count{class="check",organisation="club"} 2"""
private const val CLUB_BUCKET =
    """bilberrycart_first_token_seconds_bucket{class="check",organisation="club",le="0.047"} 2"""
private val stats =
    RingStats("admission", capacity = 8, accepted = 5, taken = 3, refused = 1, held = 2)

private data class ScrapeCase(val action: MetricsAction, val line: String) : WithDataTestName {
    override fun dataTestName(): String = line
}

private fun lines(vararg actions: MetricsAction): List<String> {
    val registry = MetricsRegistry { listOf(stats) }
    actions.forEach(registry::accept)
    return registry.scrape().lines()
}

class MetricsRegistryTest :
    FunSpec({
        context("the scrape reflects each action") {
            withData(
                ScrapeCase(wait, CLUB_COUNT),
                ScrapeCase(wait, CLUB_BUCKET),
                ScrapeCase(
                    wait.copy(series = OrganisationSeries.Others),
                    CLUB_COUNT.replace("club", "(other)"),
                ),
                ScrapeCase(
                    MetricsAction.CountResult(ResultCode.OVERLOADED),
                    """bilberrycart_results_total{code="2003"} 1.0""",
                ),
                ScrapeCase(
                    MetricsAction.CountResult(code = null),
                    """bilberrycart_results_total{code="0"} 1.0""",
                ),
                ScrapeCase(
                    MetricsAction.CountLoss(LossCause.SILENT),
                    """bilberrycart_losses_total{cause="silent"} 1.0""",
                ),
                ScrapeCase(
                    MetricsAction.SetWorstMinute(
                        RequestClass.CHECK,
                        Measure.FIRST_TOKEN,
                        500.milliseconds,
                    ),
                    "bilberrycart_worst_minute_seconds" +
                        """{class="check",measure="first_token"} 0.5""",
                ),
                ScrapeCase(MetricsAction.CountStray, "bilberrycart_stray_tokens_total 1.0"),
                ScrapeCase(
                    MetricsAction.CountStray,
                    """bilberrycart_ring_refused_total{ring="admission"} 1.0""",
                ),
                ScrapeCase(
                    MetricsAction.CountStray,
                    """bilberrycart_ring_held{ring="admission"} 2.0""",
                ),
            ) { case -> lines(case.action) shouldContain case.line }
        }

        test("a removed series is not in the scrape") {
            lines(wait, MetricsAction.RemoveSeries(club)) shouldNotContain CLUB_COUNT
        }
    })
