package org.bilberrycart.daemon

import java.net.HttpURLConnection
import java.net.URI
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.milliseconds

private val SETTLE_TIME = 500.milliseconds

/**
 * Starts a node, sends it a few requests over loopback and exits, so that the build can archive the
 * classes that a start loads (class data sharing).
 */
fun main() {
    val settings = startNode()
    val metrics = "${settings.address}:${settings.metricsPort}"
    listOf(
        "${settings.callers}/",
        "${settings.status}/",
        "$metrics/metrics",
    ).forEach(::printResponseStatus)
    Thread.sleep(SETTLE_TIME.inWholeMilliseconds)
    exitProcess(0)
}

private fun printResponseStatus(target: String) {
    val connection = URI("http://$target").toURL().openConnection() as HttpURLConnection
    println("rehearsal: $target returned status ${connection.responseCode}")
    connection.disconnect()
}
