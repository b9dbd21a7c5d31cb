package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import org.bilberrycart.settings.EffectiveSettings
import org.bilberrycart.settings.Settings
import org.bilberrycart.settings.SettingsFolder
import org.bilberrycart.settings.SettingsLeaf
import org.bilberrycart.settings.SettingsResult

/** Prints the merged settings, or the file that set each value. */
class ConfigShowCommand : CliktCommand(name = "show") {
    private val paths by argument("FOLDER").path(mustExist = false).multiple(required = true)
    private val merged by option("--merged", help = "Leave out defaults that no file sets.")
        .flag()
    private val origin by option("--origin", help = "Print the file that set each value.").flag()
    private val json by option("--json", help = "Print one JSON object.").flag()

    override fun help(context: Context): String = "Shows the settings that FOLDER merges into."

    override fun run() = when (val result = SettingsFolder.read(paths)) {
        is SettingsResult.Valid -> echo(show(result))

        is SettingsResult.Invalid -> {
            echo(result.describe(), err = true)
            throw ProgramResult(1)
        }
    }

    private fun show(valid: SettingsResult.Valid<Settings>): String = when {
        origin -> showOrigins(
            if (merged) valid.document.leaves() else EffectiveSettings.leaves(valid),
        )
        else -> showDocument(
            if (merged) valid.document.toJson() else EffectiveSettings.toJson(valid.settings),
        )
    }

    private fun showOrigins(leaves: List<SettingsLeaf>): String = when {
        json -> Json.encodeToString(mapOf("values" to leaves))
        else -> leaves.joinToString("\n") { "${it.path} = ${it.value}  # ${it.file}" }
    }

    private fun showDocument(document: JsonObject): String =
        if (json) document.toString() else prettyJson.encodeToString(document)

    private companion object {
        val prettyJson = Json {
            prettyPrint = true
            prettyPrintIndent = "  "
        }
    }
}
