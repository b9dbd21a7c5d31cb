package org.bilberrycart.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bilberrycart.settings.Settings
import org.bilberrycart.settings.SettingsFault
import org.bilberrycart.settings.SettingsFolder
import org.bilberrycart.settings.SettingsResult

/** Checks all of the settings in some folders and reports every fault. */
class ConfigCheckCommand : CliktCommand(name = "check") {
    private val paths by argument("FOLDER").path(mustExist = false).multiple(required = true)
    private val json by option("--json", help = "Print one JSON object.").flag()

    override fun help(context: Context): String =
        "Checks the settings in FOLDER; later folders or files refine earlier ones."

    override fun run() {
        val result = SettingsFolder.read(paths)
        echo(if (json) Json.encodeToString(report(result)) else describe(result))
        if (result is SettingsResult.Invalid) throw ProgramResult(1)
    }

    private fun report(result: SettingsResult<Settings>): ConfigReport = when (result) {
        is SettingsResult.Invalid -> ConfigReport(valid = false, faults = result.faults)

        is SettingsResult.Valid -> ConfigReport(
            valid = true,
            organisations = result.settings.fleet.organisations.size,
            services = result.settings.fleet.services.size,
            upstreams = result.settings.fleet.upstreams.size,
        )
    }

    private fun describe(result: SettingsResult<Settings>): String = when (result) {
        is SettingsResult.Invalid -> result.describe()

        is SettingsResult.Valid -> with(result.settings.fleet) {
            "valid: ${organisations.size} organisations, ${services.size} services, " +
                "${upstreams.size} upstreams"
        }
    }

    @Serializable
    private data class ConfigReport(
        val valid: Boolean,
        val faults: List<SettingsFault> = emptyList(),
        val organisations: Int = 0,
        val services: Int = 0,
        val upstreams: Int = 0,
    )
}

/** Returns the faults as text, one on each line, and their number. */
internal fun SettingsResult.Invalid.describe(): String =
    faults.joinToString("\n") + "\n${faults.size} faults"
