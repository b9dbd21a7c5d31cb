package org.bilberrycart.bench.control

import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable
import org.bilberrycart.configuration.ApplyOutcome
import org.bilberrycart.configuration.ConfigurationDocument
import org.bilberrycart.configuration.ConfigurationPublisher
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.standins.platform.PlatformFaults
import org.bilberrycart.standins.platform.PlatformStandIn
import org.bilberrycart.store.HttpTableClient

/**
 * Measures the time from the acceptance of a configuration change until all nodes use it.
 *
 * The nodes are sets of control duties in one process. After some of the changes the table has an
 * outage, and during others one node receives no announcements and has to poll the store.
 *
 * @property nodes the number of nodes.
 * @property changes the number of configuration changes.
 * @property documentBytes the size of each configuration document.
 */
class ConfigurationMeasurement(
    private val nodes: Int = 4,
    private val changes: Int = 100,
    private val documentBytes: Int = 20_000,
) {
    private val clock = Clock()

    /** Runs the measurement. */
    fun run(): ConfigurationFigures = PlatformStandIn().start().use { standin ->
        HttpTableClient("http://127.0.0.1:${standin.port}").use { table ->
            ControlFleet(nodes, standin.port, clock).start().use { fleet ->
                measure(standin, ConfigurationPublisher(table), fleet)
            }
        }
    }

    private fun measure(
        standin: PlatformStandIn,
        publisher: ConfigurationPublisher,
        fleet: ControlFleet,
    ): ConfigurationFigures {
        val polled = LatencyRecorder()
        val reported = LatencyRecorder()
        val outage = LatencyRecorder()
        val isolated = LatencyRecorder()
        for (version in 1L..changes) {
            val latencies = when {
                version % OUTAGE_EVERY == 0L -> outage
                version % ISOLATION_EVERY == 0L -> isolated
                version % 2 == 0L -> reported
                else -> polled
            }
            if (latencies === isolated) fleet.setIsolated(index = 0, isIsolated = true)
            val acceptedAt = publish(publisher, version)
            if (latencies === reported) fleet.reportAccepted(index = 1, version)
            if (latencies === outage) interruptTable(standin)
            latencies.add(awaitAdoption(fleet, version) - acceptedAt)
            if (latencies === isolated) fleet.setIsolated(index = 0, isIsolated = false)
        }
        return ConfigurationFigures(
            nodes = nodes,
            changes = changes,
            polled = polled.summary(),
            told = reported.summary(),
            storeOutage = outage.summary(),
            deafNode = isolated.summary(),
            hasReverted = fleet.hasReverted(),
            idleReadsPerNodePerSecond = idleReads(fleet),
        )
    }

    private fun interruptTable(standin: PlatformStandIn) {
        standin.setFaults(PlatformFaults(down = true))
        sleep(OUTAGE_DURATION)
        standin.setFaults(PlatformFaults())
    }

    private fun publish(publisher: ConfigurationPublisher, version: Long): Duration {
        val text = "x".repeat(documentBytes)
        val document = ConfigurationDocument(version, "p$version", "bench", "now", text)
        val outcome = publisher.apply(document, base = version - 1)
        check(outcome == ApplyOutcome.Accepted(version)) {
            "version $version was not accepted: $outcome"
        }
        return clock.now()
    }

    private fun awaitAdoption(fleet: ControlFleet, version: Long): Duration {
        val end = clock.now() + ADOPTION_TIMEOUT
        while (fleet.adoptedAt(version).any { it == null } && clock.now() < end) sleep(CHECK_DELAY)
        return fleet.adoptedAt(version).maxOf { it ?: end }
    }

    private fun idleReads(fleet: ControlFleet): Double {
        val before = fleet.reads()
        sleep(IDLE_DURATION)
        return (fleet.reads() - before) / (IDLE_DURATION / 1.seconds) / nodes
    }

    private fun sleep(length: Duration) = TimeUnit.MILLISECONDS.sleep(length.inWholeMilliseconds)

    private companion object {
        const val OUTAGE_EVERY = 33L
        const val ISOLATION_EVERY = 40L
        val OUTAGE_DURATION = 5.seconds
        val CHECK_DELAY = 2.milliseconds
        val IDLE_DURATION = 30.seconds
        val ADOPTION_TIMEOUT = 30.seconds
    }
}

/**
 * The results of [ConfigurationMeasurement]: times from the acceptance of a change until all nodes
 * use it.
 *
 * @property polled changes that the nodes found by polling the store.
 * @property told changes that were reported to one node, as an operator's command does.
 * @property storeOutage changes after which the table had an outage of 5 s.
 * @property deafNode changes during which one node received no announcements.
 * @property hasReverted whether a node went back to an older version.
 * @property idleReadsPerNodePerSecond store reads of one node on average while nothing changes.
 */
@Serializable
data class ConfigurationFigures(
    val nodes: Int,
    val changes: Int,
    val polled: LatencySummary,
    val told: LatencySummary,
    val storeOutage: LatencySummary,
    val deafNode: LatencySummary,
    val hasReverted: Boolean,
    val idleReadsPerNodePerSecond: Double,
)
