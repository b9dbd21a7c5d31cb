package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import java.nio.file.Path
import kotlinx.serialization.json.Json
import org.bilberrycart.settings.FleetSettings
import org.bilberrycart.settings.SettingsDiff
import org.bilberrycart.settings.SettingsFolder
import org.bilberrycart.settings.SettingsResult
import org.bilberrycart.settings.SettingsTree

/** Compares the settings that all nodes share in two folders. */
class ConfigDiffCommand : CliktCommand(name = "diff") {
    private val before by argument("BEFORE").path(mustExist = false)
    private val after by argument("AFTER").path(mustExist = false)
    private val json by option("--json", help = "Print one JSON object.").flag()

    override fun help(context: Context): String =
        "Shows what changes from BEFORE to AFTER in the settings that all nodes share."

    override fun run() {
        val changes = SettingsDiff.between(read(before), read(after))
        when {
            json -> echo(Json.encodeToString(mapOf("changes" to changes)))
            changes.isEmpty() -> echo("no change")
            else -> echo(changes.joinToString("\n"))
        }
    }

    private fun read(path: Path): SettingsTree.Branch =
        when (val result: SettingsResult<FleetSettings> = SettingsFolder.readFleet(listOf(path))) {
            is SettingsResult.Valid -> result.document

            is SettingsResult.Invalid -> {
                echo(result.describe(), err = true)
                throw ProgramResult(1)
            }
        }
}
