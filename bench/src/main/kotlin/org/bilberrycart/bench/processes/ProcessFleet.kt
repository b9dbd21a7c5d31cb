package org.bilberrycart.bench.processes

import java.net.InetSocketAddress
import java.net.Socket
import java.nio.file.Path
import java.util.concurrent.atomic.AtomicReference
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.json.Json
import org.bilberrycart.standins.engine.EngineSettings
import org.bilberrycart.standins.service.StandInServiceSettings

/** The processes of a run: nodes, stand-ins of engines and plain services, and the platform. */
class ProcessFleet(private val folder: Path) : AutoCloseable {
    private val ports = FleetPorts.free(NODES, ENGINES, SERVICES)
    private val control = StandInControl()
    private val killTimes = AtomicReference<PersistentMap<Int, TimeMark>>(persistentMapOf())
    private val settings = SettingsFolders(folder, ports)
    private val platform = child(
        "platform",
        listOf("standin", "platform", "--port", "${ports.platform}"),
    )
    private val engines = List(ENGINES) { engine(it) }
    private val services = List(SERVICES) { service(it) }
    private val nodes = List(NODES) { node(it) }

    /** Returns the base address of the callers' interface of the node [number]. */
    fun address(number: Int): String = "http://${SettingsFolders.LOOPBACK}:${ports.callers[number]}"

    /** Returns when the node [number] was last killed; null if it was never killed. */
    fun killedAt(number: Int): TimeMark? = killTimes.get()[number]

    /**
     * Starts all processes and waits until they listen on their ports.
     *
     * @throws IllegalStateException if a process doesn't listen in time.
     */
    fun start() {
        (listOf(platform) + engines + services).forEach { it.start() }
        awaitPorts(listOf(ports.platform) + ports.engines + ports.services)
        nodes.forEach { it.start() }
        awaitPorts(ports.callers)
    }

    /** Begins [fault]. */
    fun beginFault(fault: ProcessFault) {
        when (fault) {
            is ProcessFault.KillNode -> {
                killTimes.updateAndGet { it.put(fault.node, TimeSource.Monotonic.markNow()) }
                nodes[fault.node].kill()
            }
            is ProcessFault.KillEngine -> engines[fault.engine].kill()
            is ProcessFault.PauseNode -> nodes[fault.node].pause()
            is ProcessFault.PauseEngine -> engines[fault.engine].pause()
            is ProcessFault.SilenceEngine ->
                control.injectFault(ports.engineControls[fault.engine], """{"fault":"silence"}""")
            is ProcessFault.LoseAnswers -> control.injectFault(
                ports.serviceControls.first(),
                """{"fault":"dieAfter","count":${fault.calls}}""",
            )
            is ProcessFault.Platform -> control.setPlatformFaults(ports.platform, fault.faults)
        }
    }

    /** Ends [fault]. */
    fun endFault(fault: ProcessFault) {
        when (fault) {
            is ProcessFault.KillNode -> nodes[fault.node].startIfNotAlive()
            is ProcessFault.KillEngine -> engines[fault.engine].startIfNotAlive()
            is ProcessFault.PauseNode -> nodes[fault.node].resume()
            is ProcessFault.PauseEngine -> engines[fault.engine].resume()
            is ProcessFault.SilenceEngine -> Unit
            is ProcessFault.LoseAnswers -> Unit
            is ProcessFault.Platform -> control.setPlatformFaults(ports.platform, "{}")
        }
    }

    /** Returns how often the action service executed each idempotency key. */
    fun executions(): Map<String, Int> = control.executions(ports.serviceControls.first())

    override fun close() = (nodes + engines + services + platform).forEach { it.close() }

    private fun engine(number: Int): ChildProcess {
        val settings = EngineSettings(
            port = ports.engines[number],
            controlPort = ports.engineControls[number],
            slots = SLOTS,
            threads = STAND_IN_THREADS,
            seed = number.toLong(),
        )
        return standIn("engine", number, settings.port, settings.controlPort, encode(settings))
    }

    private fun service(number: Int): ChildProcess {
        val settings = StandInServiceSettings(
            port = ports.services[number],
            controlPort = ports.serviceControls[number],
            slots = SLOTS,
        )
        val json = Json.encodeToString(StandInServiceSettings.serializer(), settings)
        return standIn("service", number, settings.port, settings.controlPort, json)
    }

    private fun encode(settings: EngineSettings) =
        Json.encodeToString(EngineSettings.serializer(), settings)

    private fun standIn(kind: String, number: Int, port: Int, control: Int, settings: String) =
        child(
            "$kind-$number",
            listOf("standin", kind, "--port", "$port", "--control-port", "$control") +
                listOf("--settings", settings),
        )

    private fun node(number: Int) = ChildProcess(
        name = "node-$number",
        folder = folder,
        arguments = listOf("serve", "--config", settings.write(number).toString()),
        environment = mapOf("BILBERRYCART_PEER_SECRET" to "soak-peer-secret-0123456789"),
    )

    private fun child(name: String, arguments: List<String>) = ChildProcess(name, folder, arguments)

    private fun awaitPorts(portNumbers: List<Int>) = portNumbers.forEach { port ->
        val attempts = generateSequence(0) { it + 1 }.take(START_ATTEMPTS)
        check(attempts.any { isOpen(port) }) { "no process listens on port $port, see $folder" }
    }

    private fun isOpen(port: Int): Boolean = try {
        Socket().use {
            it.connect(InetSocketAddress(SettingsFolders.LOOPBACK, port), CONNECT_MILLIS)
        }
        true
    } catch (e: java.io.IOException) {
        Thread.sleep(START_PAUSE_MILLIS)
        false
    }

    companion object {
        /** The number of node processes. */
        const val NODES = 4

        /** The number of engine processes. */
        const val ENGINES = 4

        internal const val SLOTS = 16
        private const val SERVICES = 2
        private const val STAND_IN_THREADS = 200
        private const val START_ATTEMPTS = 600
        private const val START_PAUSE_MILLIS = 100L
        private const val CONNECT_MILLIS = 500
    }
}
