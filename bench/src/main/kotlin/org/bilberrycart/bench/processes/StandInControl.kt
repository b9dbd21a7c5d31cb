package org.bilberrycart.bench.processes

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse.BodyHandlers
import java.time.Duration
import kotlinx.serialization.json.Json
import org.bilberrycart.standins.service.ExecutionsBody
import org.slf4j.LoggerFactory

/** Injects faults into stand-ins and reads their counters over HTTP. */
internal class StandInControl {
    private val client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build()

    /** Sends the fault with the JSON text [body] to the control port of an engine or service. */
    fun injectFault(port: Int, body: String) =
        send(request(port, "/standin/fault").POST(BodyPublishers.ofString(body)))

    /** Replaces the faults of the platform by the JSON object [faults]. */
    fun setPlatformFaults(port: Int, faults: String) =
        send(request(port, "/v1/faults").PUT(BodyPublishers.ofString(faults)))

    /** Returns the executions that the service counted, by idempotency key. */
    fun executions(port: Int): Map<String, Int> {
        val request = request(port, "/standin/executions").GET().build()
        val body = client.send(request, BodyHandlers.ofString()).body()
        return Json.decodeFromString(ExecutionsBody.serializer(), body).executions
            .associate { it.key to it.count }
    }

    private fun request(port: Int, path: String) = HttpRequest.newBuilder(
        URI("http://${SettingsFolders.LOOPBACK}:$port$path"),
    ).timeout(TIMEOUT)

    /** Sends [request]; a failure is only logged, because the stand-in may be killed or paused. */
    private fun send(request: HttpRequest.Builder) {
        try {
            client.send(request.build(), BodyHandlers.discarding())
        } catch (e: java.io.IOException) {
            log.info("event=control_failed cause={}", e.toString())
        }
    }

    private companion object {
        val TIMEOUT: Duration = Duration.ofSeconds(2)
        val log = LoggerFactory.getLogger(StandInControl::class.java)
    }
}
