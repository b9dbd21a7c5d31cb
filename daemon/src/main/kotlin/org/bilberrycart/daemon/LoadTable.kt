package org.bilberrycart.daemon

import org.bilberrycart.bench.load.LatencyReport
import org.bilberrycart.bench.load.LoadTestReport

/** Formats the report of a load test as CSV lines. */
internal object LoadTable {
    /** Returns the header and one line for each figure. */
    fun lines(report: LoadTestReport): List<String> = listOf(HEADER) +
        (listOfNotNull(report.latency) + report.saturation).flatMap(::latency) +
        listOfNotNull(report.footprint).flatMap {
            listOf(
                "footprint,${it.node.openStreams} streams,threads of the node,${it.nodeThreads}",
                "footprint,${it.node.openStreams} streams,heap of the node MB," +
                    it.nodeHeapMegabytes.formatted(),
            )
        } +
        report.resume.flatMap {
            val load = "${it.kind} x ${it.losses}"
            listOf(
                "resume,$load,p50 ms,${it.resume.p50.formatted()}",
                "resume,$load,p99 ms,${it.resume.p99.formatted()}",
                "resume,$load,max ms,${it.resume.max.formatted()}",
                "resume,$load,resumed streams,${it.resume.count}",
                "resume,$load,broken answers,${it.totals.broken.values.sum()}",
            )
        }

    private fun latency(report: LatencyReport): List<String> {
        val load = "${report.offeredTokensPerSecond} tokens/s"
        return listOf(
            "latency,$load,added p50 ms,${report.added.p50.formatted()}",
            "latency,$load,added p99 ms,${report.added.p99.formatted()}",
            "latency,$load,added max ms,${report.added.max.formatted()}",
            "latency,$load,direct p99 ms,${report.direct.transit.p99.formatted()}",
            "latency,$load,node p99 ms,${report.node.transit.p99.formatted()}",
            "latency,$load,direct tokens/s,${report.direct.tokensPerSecond.formatted()}",
            "latency,$load,node tokens/s,${report.node.tokensPerSecond.formatted()}",
        )
    }

    private fun Double.formatted(): String = "%.3f".format(this)

    private const val HEADER = "measurement,load,figure,value"
}
