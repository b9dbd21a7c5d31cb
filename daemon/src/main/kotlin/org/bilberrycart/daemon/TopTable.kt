package org.bilberrycart.daemon

import com.github.ajalt.mordant.rendering.Widget
import com.github.ajalt.mordant.table.table
import com.github.ajalt.mordant.widgets.Text
import org.bilberrycart.metrics.StatusReport

/** The result of reading the status of one node. */
sealed class TopView {
    /** The node answered with [report]. */
    data class Reachable(val report: StatusReport) : TopView()

    /** The operator port at [node] returned no report, because of [cause]. */
    data class Unreachable(val node: String, val cause: String) : TopView()
}

/** Builds the table that the command `top` shows. */
object TopTable {
    /** Returns the table of one node, the longest waiting requests first. */
    fun of(view: TopView): Widget = when (view) {
        is TopView.Unreachable -> Text("${view.node}: ${view.cause}")
        is TopView.Reachable -> of(view.report)
    }

    private fun of(report: StatusReport): Widget = table {
        captionTop(captionOf(report))
        header { row("organisation", "service", "class", "waits for", "requests", "longest") }
        body {
            report.waiting.sortedByDescending { it.longestMillis }.take(MAX_ROWS).forEach {
                row(
                    it.organisation,
                    it.service,
                    it.requestClass.name.lowercase(),
                    it.cause.name.lowercase(),
                    it.requests,
                    "${it.longestMillis} ms",
                )
            }
        }
    }

    private fun captionOf(report: StatusReport): String = with(report) {
        val busy = upstreams.sumOf { it.running }
        val slots = upstreams.sumOf { it.slots }
        "$vm in $dataCentre: $readiness, $inFlight in flight, $busy of $slots slots, " +
            "${rings.sumOf { it.refused }} refused by rings"
    }

    private const val MAX_ROWS = 30
}
