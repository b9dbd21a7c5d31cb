package org.bilberrycart.daemon

import java.net.InetSocketAddress
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.system.exitProcess
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.http.HttpClients
import org.bilberrycart.gateway.node.GatewayNode
import org.bilberrycart.gateway.node.GatewaySettings
import org.bilberrycart.platform.PlatformProtocol
import org.bilberrycart.platform.PlatformRows
import org.bilberrycart.platform.PlatformStore
import org.bilberrycart.platform.RehearsalPlatform
import org.eclipse.jetty.client.BufferingResponseListener
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.Result

/** The port of the store in deploy/rehearsal.json. */
private const val STORE_PORT = 18742
private const val REQUESTS = 100
private const val STATUS_OK = 200
private const val EXIT_FAILED = 1
private const val READY_ATTEMPTS = 100
private const val READY_POLL_MILLIS = 50L

/** A second loopback address, for a peer of the node. */
private const val PEER_HOST = "127.0.0.2"
private val CLIENT_IDLE = 5.seconds
private val TIME_LIMIT = 60.seconds

/**
 * Starts a node and a peer, sends calls and streams through the node over loopback, and exits, so
 * that the build can archive the classes that a node loads (class data sharing).
 */
fun main() {
    limitTime()
    val result = runCatching(::serveRequests)
    result.onFailure { System.err.println("rehearsal: failed: $it") }
    exitProcess(if (result.isSuccess) 0 else EXIT_FAILED)
}

/** Ends the process after [TIME_LIMIT], so that a rehearsal that hangs does not hold up a build. */
private fun limitTime() {
    thread(isDaemon = true, name = "rehearsal-limit") {
        Thread.sleep(TIME_LIMIT.inWholeMilliseconds)
        System.err.println("rehearsal: not done in $TIME_LIMIT")
        Runtime.getRuntime().halt(EXIT_FAILED)
    }
}

private fun serveRequests() {
    val client = HttpClients.start("rehearsal", CLIENT_IDLE)
    val settings = rehearse(client)
    listOf(RehearsalPlatform.CALL_PATH, RehearsalPlatform.STREAM_PATH).forEach { path ->
        val statuses = List(REQUESTS) { send(client, settings, path, it) }
        println("rehearsal: $path returned ${statuses.groupingBy { it }.eachCount()}")
    }
    val metrics = "http://${settings.address}:${settings.metricsPort}/metrics"
    println("rehearsal: metrics returned ${client.GET(metrics).status}")
}

/** Starts the stand-in of the platform, the node and its peer; returns when the node is ready. */
private fun rehearse(client: HttpClient): GatewaySettings {
    RehearsalPlatform(InetSocketAddress("127.0.0.1", STORE_PORT)).start()
    val settings = startNode()
    val store = PlatformStore(HttpClients.start("peer-store", CLIENT_IDLE)) { settings.store }
    GatewayNode(peerOf(settings), PlatformProtocol(), store, PlatformRows(), store).start()
    val isReady = generateSequence { isReady(client, settings) }.take(READY_ATTEMPTS).any { it }
    check(isReady) { "the node of the rehearsal does not become ready" }
    return settings
}

private fun isReady(client: HttpClient, settings: GatewaySettings): Boolean {
    Thread.sleep(READY_POLL_MILLIS)
    return client.GET("http://${settings.status}${PlatformProtocol().readinessTarget}").status ==
        STATUS_OK
}

private fun peerOf(settings: GatewaySettings): GatewaySettings = settings.copy(
    node = "${settings.node}-peer",
    address = PEER_HOST,
    callers = "$PEER_HOST:${settings.callers.substringAfterLast(':')}",
    status = "$PEER_HOST:${settings.status.substringAfterLast(':')}",
    seeds = listOf("${settings.address}:${settings.peerPort}"),
)

private fun send(client: HttpClient, settings: GatewaySettings, path: String, number: Int): Int {
    val done = CountDownLatch(1)
    var status = 0
    client.POST("http://${settings.callers}$path$number")
        .headers { headers ->
            headers.put("Host", RehearsalPlatform.HOST)
            headers.put("Authorization", "Bearer ${RehearsalPlatform.KEY}")
            headers.put(RehearsalPlatform.ID_HEADER, "$number")
        }
        .send(object : BufferingResponseListener() {
            override fun onComplete(result: Result) {
                status = result.response?.status ?: 0
                done.countDown()
            }
        })
    done.await(CLIENT_IDLE.inWholeSeconds, TimeUnit.SECONDS)
    return status
}
