package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.terminal
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.bilberrycart.metrics.StatusReport
import org.http4k.client.JettyClient
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request

/** Shows which requests wait on one or more nodes, and what they wait for. */
class TopCommand : CliktCommand(name = "top") {
    private val nodes by option("--node", help = "The operator port of a node; may be repeated.")
        .multiple(default = listOf("http://127.0.0.1:20081"))
    private val seconds by option("--every", help = "Seconds between two views.").int().default(2)
    private val once by option("--once", help = "Print one view and stop.").flag()
    private val json by option("--json", help = "Print one JSON object and stop.").flag()

    override fun help(context: Context): String =
        "Shows which requests wait, and what they wait for."

    override fun run() = JettyClient().use { client ->
        do {
            val views = nodes.map { read(client, it) }
            show(views)
            if (!once && !json) Thread.sleep(seconds * MILLIS_PER_SECOND)
        } while (!once && !json)
    }

    private fun show(views: List<TopView>) {
        when {
            json -> echo(Json.encodeToString(mapOf("nodes" to views.reports())))

            else -> {
                if (!once) {
                    terminal.cursor.move {
                        setPosition(0, 0)
                        clearScreen()
                    }
                }
                views.forEach { terminal.println(TopTable.of(it)) }
            }
        }
        if ((once || json) && views.any { it is TopView.Unreachable }) throw ProgramResult(1)
    }

    private fun List<TopView>.reports(): List<StatusReport> =
        filterIsInstance<TopView.Reachable>().map { it.report }

    private fun read(client: HttpHandler, node: String): TopView = try {
        val response = client(Request(Method.GET, "$node/status.json"))
        when {
            response.status.successful ->
                TopView.Reachable(Json.decodeFromString<StatusReport>(response.bodyString()))

            else -> TopView.Unreachable(node, "${response.status}")
        }
    } catch (e: SerializationException) {
        TopView.Unreachable(node, e.message.orEmpty())
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
