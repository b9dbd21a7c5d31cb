package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import java.time.Instant
import java.util.UUID
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.configuration.ApplyOutcome
import org.bilberrycart.configuration.ConfigurationDocument
import org.bilberrycart.configuration.ConfigurationPublisher
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.settings.SettingsFolder
import org.bilberrycart.settings.SettingsResult
import org.bilberrycart.store.HttpTableClient
import org.bilberrycart.store.VmListClient
import org.bilberrycart.store.VmListReply

/** Publishes a settings folder as the next version of the configuration. */
class ConfigApplyCommand : CliktCommand(name = "apply") {
    private val folder by argument("FOLDER").path(mustExist = false)
    private val base by option("--base", help = "the version that the change builds on; 0 for none")
        .long().required()
    private val platform by option("--platform", metavar = "URL", help = "where the platform is")
        .required()
    private val wait by option("--wait", help = "wait until all live nodes have it in force").flag()
    private val clock = Clock()

    override fun help(context: Context): String =
        "Checks all of FOLDER and puts it in force, if BASE is still the newest version."

    override fun run() = HttpTableClient(platform).use { table ->
        val publisher = ConfigurationPublisher(table)
        val text = readSettings()
        when (val outcome = publisher.apply(documentOf(text), base)) {
            is ApplyOutcome.Accepted -> {
                echo("accepted version ${outcome.version}")
                if (wait) awaitNodes(publisher, outcome.version)
            }
            is ApplyOutcome.Conflict -> failWithConflict(publisher, outcome.current)
            ApplyOutcome.Unavailable -> fail("the store does not answer; nothing was changed")
            ApplyOutcome.Unknown -> fail("the store does not answer; check with config history")
        }
    }

    private fun readSettings(): String =
        when (val result = SettingsFolder.readFleet(listOf(folder))) {
            is SettingsResult.Valid -> result.document.without("node").toJson().toString()
            is SettingsResult.Invalid -> fail(result.describe())
        }

    private fun documentOf(text: String) = ConfigurationDocument(
        version = base + 1,
        publication = UUID.randomUUID().toString(),
        author = System.getProperty("user.name"),
        appliedAt = Instant.now().toString(),
        text = text,
    )

    private fun failWithConflict(publisher: ConfigurationPublisher, current: Long): Nothing {
        echo("conflict: the newest version is $current, not $base", err = true)
        val before = publisher.document(base)?.text ?: "{}"
        val after = publisher.document(current)?.text ?: "{}"
        echo("changed from $base to $current:", err = true)
        fail(DocumentDiff.between(before, after).joinToString("\n"))
    }

    private fun awaitNodes(publisher: ConfigurationPublisher, version: Long) {
        val end = clock.now() + WAIT_TIMEOUT
        while (clock.now() < end) {
            val missing = nodesWithout(publisher, version)
            if (missing?.isEmpty() == true) return echo("in force on all live nodes")
            TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL.inWholeMilliseconds)
        }
        val missing = nodesWithout(publisher, version)?.joinToString() ?: "unknown"
        fail("not yet in force on: $missing")
    }

    /** Returns the live nodes without [version], or null if the platform does not answer. */
    private fun nodesWithout(publisher: ConfigurationPublisher, version: Long): List<String>? {
        val reported = publisher.reportedVersions() ?: return null
        val live = liveNodes() ?: return null
        val nodes = live.ifEmpty { reported.keys.map { it.value } }
        val current = reported.filterValues { it >= version }.keys.map { it.value }.toSet()
        return (nodes - current).ifEmpty {
            if (current.isEmpty()) {
                listOf("any node")
            } else {
                nodes - current
            }
        }
    }

    private fun liveNodes(): List<String>? = VmListClient(platform).use { client ->
        val reply = CompletableFuture<VmListReply>()
        client.read(LIST_TIMEOUT) { reply.complete(it) }
        when (val list = reply.get()) {
            is VmListReply.Listed -> list.vms.filter { it.isNode && !it.isLeaving }.map { it.id }
            is VmListReply.Failed -> null
        }
    }

    private fun fail(message: String): Nothing {
        echo(message, err = true)
        throw ProgramResult(1)
    }

    private companion object {
        val WAIT_TIMEOUT = 60.seconds
        val CHECK_INTERVAL = 500.milliseconds
        val LIST_TIMEOUT = 2.seconds
    }
}
