package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.long
import org.bilberrycart.configuration.ConfigurationPublisher
import org.bilberrycart.store.HttpTableClient

/** Lists the accepted versions of the configuration, the newest first. */
class ConfigHistoryCommand : CliktCommand(name = "history") {
    private val platform by option("--platform", metavar = "URL", help = "where the platform is")
        .required()
    private val last by option("--last", help = "how many versions to show").long()
        .default(DEFAULT_LAST)

    override fun help(context: Context): String =
        "Lists the accepted versions with what each one changed, and the nodes that have them."

    override fun run() = HttpTableClient(platform).use { table ->
        val publisher = ConfigurationPublisher(table)
        val head = publisher.head() ?: fail("the store does not answer")
        for (version in head downTo maxOf(1, head - last + 1)) show(publisher, version)
        publisher.reportedVersions().orEmpty().toSortedMap().forEach { (vm, version) ->
            echo("node $vm has version $version in force")
        }
    }

    private fun show(publisher: ConfigurationPublisher, version: Long) {
        val document = publisher.document(version) ?: fail("version $version cannot be read")
        val before = publisher.document(version - 1)?.text ?: "{}"
        echo("version $version by ${document.author} at ${document.appliedAt}")
        DocumentDiff.between(before, document.text).take(MAX_CHANGES).forEach { echo("  $it") }
    }

    private fun fail(message: String): Nothing {
        echo(message, err = true)
        throw ProgramResult(1)
    }

    private companion object {
        const val DEFAULT_LAST = 10L
        const val MAX_CHANGES = 20
    }
}
