package org.bilberrycart.bench.experiment

import java.nio.file.Path
import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.CategoryChart
import org.knowm.xchart.CategoryChartBuilder

/** Draws a bar chart of the latencies and the extra engine time under each policy. */
object ExperimentPlot {
    /** Writes the chart of [report] as PNG to [file]. */
    fun write(report: ExperimentReport, file: Path) =
        BitmapEncoder.saveBitmap(chart(report), file.toString(), BitmapEncoder.BitmapFormat.PNG)

    private fun chart(report: ExperimentReport): CategoryChart {
        val chart = CategoryChartBuilder()
            .width(WIDTH).height(HEIGHT)
            .title("${report.name}, seed ${report.seed}: worst minute")
            .yAxisTitle("ms, and % for extra use")
            .build()
        val names = report.policies.map { it.policy }
        series(report).forEach { (name, values) -> chart.addSeries(name, names, values) }
        return chart
    }

    private data class Series(val name: String, val values: List<Double>)

    private fun series(report: ExperimentReport) = listOf(
        Series(
            "first token p95, short questions",
            report.policies.map {
                it.shortFirstToken.worstMinuteP95
            },
        ),
        Series("between tokens p99", report.policies.map { it.interToken.worstMinuteP99 }),
        Series("resume p99", report.policies.map { it.resume.worstMinuteP99 }),
        Series("extra use", report.policies.map { it.worstMinuteExtraPercent }),
    )

    private const val WIDTH = 1_000
    private const val HEIGHT = 500
}
