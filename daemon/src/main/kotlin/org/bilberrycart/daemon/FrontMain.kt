package org.bilberrycart.daemon

import java.io.IOException
import java.nio.file.Path
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

private const val SETTINGS_VARIABLE = "BILBERRYCART_SETTINGS"
private const val BAD_SETTINGS = 78
private const val CANNOT_START = 71
private val STORE_IDLE = 30.seconds

/** Runs one node on the users' platform, with the settings file that the environment names. */
fun main() {
    startNode()
}

/** Starts a node that drains when the process is told to end; returns its settings. */
internal fun startNode(): GatewaySettings {
    val path = Path.of(System.getenv(SETTINGS_VARIABLE) ?: fail("$SETTINGS_VARIABLE is not set"))
    val settings = when (val result = GatewaySettingsFile.read(path)) {
        is GatewaySettingsResult.Unusable -> fail(result.reason)
        is GatewaySettingsResult.Read -> result.settings
    }
    val watch = SettingsWatch(path, settings).also { it.start() }
    val store = PlatformStore(HttpClients.start("store", STORE_IDLE)) { watch.current.store }
    val node = try {
        GatewayNode(settings, PlatformProtocol(), store, PlatformRows()).also { it.start() }
    } catch (e: IOException) {
        // Threads are alive by now, so the process would not end by itself.
        fail("can't start: $e", CANNOT_START)
    }
    Runtime.getRuntime().addShutdownHook(Thread(node::stop))
    return settings
}

private fun fail(reason: String, code: Int = BAD_SETTINGS): Nothing {
    System.err.println("bilberrycart: $reason")
    exitProcess(code)
}
