package org.bilberrycart.bench.load

import org.bilberrycart.bench.fleet.FleetPlan
import org.bilberrycart.settings.ServiceSettings

/**
 * Runs the measurements of `bilberrycart load`, each with its own nodes and engines.
 *
 * @property service the service whose policies apply when streams of lost engines are resumed.
 */
class LoadSuite(
    private val seed: Long,
    private val seconds: Int,
    private val streams: Int,
    private val tokensPerSecond: Int,
    private val service: ServiceSettings.Generation = FleetPlan.DEFAULT_SERVICE,
) {
    /** Runs [parts] in the order of [LoadPart] and reports their results. */
    fun run(parts: Set<LoadPart>): LoadTestReport =
        LoadPart.entries.filter { it in parts }.fold(LoadTestReport(seed)) { report, part ->
            when (part) {
                LoadPart.LATENCY ->
                    report.copy(latency = LatencyMeasurement(shape(tokensPerSecond)).run())
                LoadPart.SATURATION -> report.copy(saturation = saturation())
                LoadPart.FOOTPRINT -> report.copy(footprint = footprint())
                LoadPart.RESUME -> report.copy(resume = resume())
            }
        }

    private fun shape(tokensPerSecond: Int) = LoadShape(
        seed = seed,
        streams = streams,
        tokensPerSecond = tokensPerSecond,
        seconds = seconds,
    )

    private fun saturation(): List<LatencyReport> =
        SATURATION_FACTORS.map { LatencyMeasurement(shape(tokensPerSecond * it)).run() }

    private fun footprint(): FootprintReport = FootprintMeasurement(
        LoadShape(
            seed = seed,
            streams = FOOTPRINT_STREAMS,
            tokensPerSecond = FOOTPRINT_STREAMS * 2,
            seconds = FOOTPRINT_SECONDS,
        ),
    ).run()

    private fun resume(): List<ResumeReport> {
        val shape = LoadShape(
            seed = seed,
            streams = RESUME_STREAMS,
            tokensPerSecond = RESUME_STREAMS * RESUME_TOKENS_PER_SECOND_PER_STREAM,
            seconds = RESUME_SECONDS,
            engines = RESUME_ENGINES,
            slotFactor = 2.0,
        )
        return LossKind.entries.map { ResumeMeasurement(shape, service).run(it) }
    }

    private companion object {
        val SATURATION_FACTORS = listOf(2, 4, 8, 16)
        const val FOOTPRINT_STREAMS = 1_000
        const val FOOTPRINT_SECONDS = 20
        const val RESUME_STREAMS = 96
        const val RESUME_TOKENS_PER_SECOND_PER_STREAM = 20
        const val RESUME_ENGINES = 6
        const val RESUME_SECONDS = 60
    }
}
