package org.bilberrycart.bench.trial

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource
import kotlinx.serialization.json.Json
import org.bilberrycart.decode.GenerationDraft
import org.bilberrycart.model.Token
import org.bilberrycart.node.Node
import org.bilberrycart.standins.engine.EngineFault
import org.bilberrycart.standins.engine.EngineSettings
import org.bilberrycart.standins.engine.EngineStandIn
import org.bilberrycart.standins.engine.TokenSource

/**
 * Runs one generation through a node and kills the engine in the middle of the answer.
 *
 * The node and its engines run in this process, each on loopback ports of its own.
 *
 * @property maxTokens the largest number of tokens that the answer may have.
 * @property onToken called with each token that the caller receives.
 */
class Trial(private val maxTokens: Int = 200, private val onToken: (Token) -> Unit = {}) {
    private val json = Json

    /**
     * Runs the trial and returns what the caller saw.
     *
     * @throws IllegalStateException if the node refuses the request.
     */
    fun run(): TrialReport {
        val engines = List(ENGINES) { EngineStandIn(EngineSettings(slots = SLOTS)).start() }
        val node = Node(TrialSettings.settings(engines.map { it.port }, SLOTS)).start()
        return try {
            readAnswer(node, engines)
        } finally {
            node.close()
            engines.forEach { it.close() }
        }
    }

    private fun readAnswer(node: Node, engines: List<EngineStandIn>): TrialReport {
        val response = HttpClient.newHttpClient()
            .send(request(node), HttpResponse.BodyHandlers.ofLines())
        check(response.statusCode() == STATUS_OK) {
            "the node answered ${response.statusCode()}: ${response.body().toList()}"
        }
        val source = TokenSource(PROMPT, TrialSettings.MODEL.model)
        val check = AnswerCheck(source, maxTokens)
        return response.body().use { lines ->
            lines.iterator().asSequence()
                .fold(ReadProgress(check)) { progress, line ->
                    progress.lineReceived(line, engines)
                }
                .report()
        }
    }

    private fun request(node: Node): HttpRequest {
        val draft = GenerationDraft(
            service = TrialSettings.SERVICE,
            model = TrialSettings.MODEL.model,
            prompt = PROMPT,
            maxTokens = maxTokens,
        )
        val body = json.encodeToString(GenerationDraft.serializer(), draft)
        return HttpRequest.newBuilder(URI("http://${node.callersEndpoint}/v1/generations"))
            .header("Authorization", "Bearer ${TrialSettings.ORGANISATION}:${TrialSettings.KEY}")
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build()
    }

    /** What the caller has read so far; [latency] is the time from the kill to the next token. */
    private inner class ReadProgress(
        private val check: AnswerCheck,
        private val killedAt: TimeSource.Monotonic.ValueTimeMark? = null,
        private val latency: Duration? = null,
        private val event: String = "",
    ) {
        fun lineReceived(line: String, engines: List<EngineStandIn>): ReadProgress = when {
            line.startsWith("event: ") -> copy(event = line.removePrefix("event: "))
            line.isEmpty() -> copy(event = "")
            !line.startsWith("data: ") -> this
            event == "finish" -> copy(check = check.withFinish())
            event.isEmpty() -> tokenReceived(line.removePrefix("data: "), engines)
            else -> this
        }

        private fun tokenReceived(data: String, engines: List<EngineStandIn>): ReadProgress {
            val token = json.decodeFromString(Token.serializer(), data)
            onToken(token)
            val next = copy(
                check = check.withToken(token),
                latency =
                latency ?: killedAt?.elapsedNow(),
            )
            if (token.index != KILL_AT_TOKEN || killedAt != null) return next
            engines.first { it.state().running > 0 }.injectFault(EngineFault.Die)
            return next.copy(killedAt = TimeSource.Monotonic.markNow())
        }

        fun report(): TrialReport = check.report(
            enginesKilled = if (killedAt == null) 0 else 1,
            resumeLatencyMillis = latency?.toDouble(DurationUnit.MILLISECONDS) ?: 0.0,
        )

        private fun copy(
            check: AnswerCheck = this.check,
            killedAt: TimeSource.Monotonic.ValueTimeMark? = this.killedAt,
            latency: Duration? = this.latency,
            event: String = this.event,
        ) = ReadProgress(check, killedAt, latency, event)
    }

    private companion object {
        const val ENGINES = 3
        const val SLOTS = 8

        /** The index of the token after which the engine is killed. */
        const val KILL_AT_TOKEN = 40
        const val STATUS_OK = 200
        const val PROMPT = "Draft the fixtures of the spring season for eight clubs."
    }
}
