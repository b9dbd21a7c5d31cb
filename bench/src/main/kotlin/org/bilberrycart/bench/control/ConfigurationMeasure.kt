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
 * The time from "accepted" to "in force on all nodes", over many changes.
 *
 * The nodes are sets of control duties in one process. Among the changes the table goes down right
 * after one was accepted, and one node hears no announcement and has to poll.
 */
class ConfigurationMeasure(
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
        val polled = Latencies()
        val told = Latencies()
        val outage = Latencies()
        val deaf = Latencies()
        for (version in 1L..changes) {
            val kind = when {
                version % OUTAGE_EVERY == 0L -> outage
                version % DEAF_EVERY == 0L -> deaf
                version % 2 == 0L -> told
                else -> polled
            }
            if (kind === deaf) fleet.setDeaf(index = 0, isDeaf = true)
            val acceptedAt = publish(publisher, version)
            if (kind === told) fleet.tell(index = 1, version)
            if (kind === outage) interrupt(standin)
            kind.add(awaitAll(fleet, version) - acceptedAt)
            if (kind === deaf) fleet.setDeaf(index = 0, isDeaf = false)
        }
        return ConfigurationFigures(
            nodes = nodes,
            changes = changes,
            polled = polled.summary(),
            told = told.summary(),
            storeOutage = outage.summary(),
            deafNode = deaf.summary(),
            hasReverted = fleet.hasReverted(),
            idleReadsPerNodePerSecond = idleReads(fleet),
        )
    }

    private fun interrupt(standin: PlatformStandIn) {
        standin.setFaults(PlatformFaults(down = true))
        sleep(OUTAGE)
        standin.setFaults(PlatformFaults())
    }

    private fun publish(publisher: ConfigurationPublisher, version: Long): Duration {
        val text = "x".repeat(documentBytes)
        val document = ConfigurationDocument(version, "p$version", "bench", "now", text)
        val outcome = publisher.apply(document, base = version - 1)
        check(outcome == ApplyOutcome.Accepted(version)) { "$version was not accepted: $outcome" }
        return clock.now()
    }

    private fun awaitAll(fleet: ControlFleet, version: Long): Duration {
        val end = clock.now() + PATIENCE
        while (fleet.inForceAt(version).any { it == null } && clock.now() < end) sleep(CHECK)
        return fleet.inForceAt(version).maxOf { it ?: end }
    }

    private fun idleReads(fleet: ControlFleet): Double {
        val before = fleet.reads()
        sleep(IDLE)
        return (fleet.reads() - before) / (IDLE / 1.seconds) / nodes
    }

    private fun sleep(length: Duration) = TimeUnit.MILLISECONDS.sleep(length.inWholeMilliseconds)

    private companion object {
        const val OUTAGE_EVERY = 33L
        const val DEAF_EVERY = 40L
        val OUTAGE = 5.seconds
        val CHECK = 2.milliseconds
        val IDLE = 30.seconds
        val PATIENCE = 30.seconds
    }
}

/**
 * What [ConfigurationMeasure] brought; times from accepted to in force on all nodes.
 *
 * @property polled changes that the nodes found by themselves.
 * @property told changes that one node was told of, as an operator's command can do.
 * @property storeOutage changes after which the table was down for 5 s.
 * @property deafNode changes of which one node heard no announcement.
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
