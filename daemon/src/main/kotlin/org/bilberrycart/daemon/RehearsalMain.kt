package org.bilberrycart.daemon

import java.net.HttpURLConnection
import java.net.URI
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.milliseconds

private val SETTLE_TIME = 500.milliseconds

/**
 * Starts a node, asks it a few questions over loopback and ends it, so that the build can keep an
 * archive of the classes that a start needs.
 */
fun main() {
    val settings = startNode()
    val metrics = "${settings.address}:${settings.metricsPort}"
    listOf("${settings.callers}/", "${settings.status}/", "$metrics/metrics").forEach(::ask)
    Thread.sleep(SETTLE_TIME.inWholeMilliseconds)
    exitProcess(0)
}

private fun ask(target: String) {
    val connection = URI("http://$target").toURL().openConnection() as HttpURLConnection
    println("rehearsal: $target answers ${connection.responseCode}")
    connection.disconnect()
}
