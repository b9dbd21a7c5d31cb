package org.bilberrycart.daemon

import kotlinx.serialization.json.Json
import org.bilberrycart.settings.SettingsChange
import org.bilberrycart.settings.SettingsDiff
import org.bilberrycart.settings.SettingsNode

/** Compares the texts of two accepted configurations. */
internal object DocumentDiff {
    /** Returns what changes from [before] to [after]. */
    fun between(before: String, after: String): List<SettingsChange> =
        SettingsDiff.between(branch(before), branch(after))

    private fun branch(text: String): SettingsNode.Branch =
        when (val node = SettingsNode.of(Json.parseToJsonElement(text), file = "")) {
            is SettingsNode.Branch -> node
            is SettingsNode.Leaf -> SettingsNode.Branch(file = "")
        }
}
