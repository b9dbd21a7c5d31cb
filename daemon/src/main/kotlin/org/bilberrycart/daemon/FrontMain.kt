package org.bilberrycart.daemon

import ch.qos.logback.classic.LoggerContext
import java.io.IOException
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.http.HttpClients
import org.bilberrycart.gateway.node.GatewayNode
import org.bilberrycart.gateway.node.GatewaySettings
import org.bilberrycart.gateway.node.GatewaySettingsFile
import org.bilberrycart.gateway.node.GatewaySettingsResult
import org.bilberrycart.gateway.node.SettingsWatch
import org.bilberrycart.platform.PlatformProtocol
import org.bilberrycart.platform.PlatformRows
import org.bilberrycart.platform.PlatformStore
import org.slf4j.LoggerFactory

/** The environment variable that holds the path of the settings file. */
private const val SETTINGS_VARIABLE = "BILBERRYCART_SETTINGS"

/** The exit code for unusable settings, EX_CONFIG of sysexits.h. */
private const val EXIT_BAD_SETTINGS = 78

/** The exit code if the node cannot start, EX_OSERR of sysexits.h. */
private const val EXIT_START_FAILED = 71

/** The exit code if a thread of the node ends by an error, EX_SOFTWARE of sysexits.h. */
private const val EXIT_THREAD_ENDED = 70

private val STORE_IDLE_TIMEOUT = 30.seconds

/** Runs one gateway node, with the settings file that `BILBERRYCART_SETTINGS` names. */
fun main() {
    startNode()
}

/** Starts a node that drains when the process is asked to end, and returns its settings. */
internal fun startNode(): GatewaySettings {
    val path = Path.of(System.getenv(SETTINGS_VARIABLE) ?: fail("$SETTINGS_VARIABLE is not set"))
    val settings = when (val result = GatewaySettingsFile.read(path)) {
        is GatewaySettingsResult.Unusable -> fail(result.reason)
        is GatewaySettingsResult.Read -> result.settings
    }
    val started = CompletableFuture<GatewayNode>()
    val watch = SettingsWatch(path, settings, onEnded = { started.get().onThreadEnded(it) })
        .also { it.start() }
    val store =
        PlatformStore(HttpClients.start("store", STORE_IDLE_TIMEOUT)) { watch.current.store }
    val node = try {
        GatewayNode(settings, PlatformProtocol(), store, PlatformRows(), store, ::haltProcess)
            .also { started.complete(it) }
            .also { it.start() }
    } catch (e: IOException) {
        // Other threads run by now, so an exception alone would not end the process.
        fail("cannot start: $e", EXIT_START_FAILED)
    }
    Runtime.getRuntime().addShutdownHook(Thread(node::stop))
    return settings
}

/** Writes the lines that are still queued for the log and ends the process without a drain. */
private fun haltProcess() {
    (LoggerFactory.getILoggerFactory() as LoggerContext).stop()
    Runtime.getRuntime().halt(EXIT_THREAD_ENDED)
}

private fun fail(reason: String, code: Int = EXIT_BAD_SETTINGS): Nothing {
    System.err.println("bilberrycart: $reason")
    exitProcess(code)
}
