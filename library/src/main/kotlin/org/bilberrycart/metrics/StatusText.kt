package org.bilberrycart.metrics

/** Formats a [StatusReport] as plain text. */
public object StatusText {
    /** Returns the lines of [report], without idle upstreams and without unused rings. */
    public fun of(report: StatusReport): String =
        (heading(report) + waiting(report) + upstreams(report) + rings(report))
            .joinToString("\n", postfix = "\n")

    private fun heading(report: StatusReport): List<String> = with(report) {
        listOf(
            "vm $vm in $dataCentre: $readiness",
            "configuration ${configurationVersion ?: "from a folder"}",
            "up ${uptimeMillis / MILLIS_PER_SECOND} s, $inFlight requests in flight",
        )
    }

    private fun waiting(report: StatusReport): List<String> = report.waiting.map {
        "waiting ${it.requests} ${it.requestClass.name.lowercase()} of ${it.organisation} at " +
            "${it.service} for ${it.cause.name.lowercase()}, longest ${it.longestMillis} ms"
    }

    private fun upstreams(report: StatusReport): List<String> = report.upstreams
        .filter { it.state != UP || it.running > 0 || it.queued > 0 }
        .map { "upstream ${it.id} ${it.state} ${it.running}/${it.slots} queued ${it.queued}" }

    private fun rings(report: StatusReport): List<String> = report.rings
        .filter { it.held > 0 || it.refused > 0 }
        .map { "ring ${it.name} ${it.held}/${it.capacity} refused ${it.refused}" }

    private const val UP = "up"
    private const val MILLIS_PER_SECOND = 1_000
}
