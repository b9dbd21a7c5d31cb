package org.bilberrycart.daemon

import kotlinx.serialization.json.Json
import org.bilberrycart.settings.SettingsChange
import org.bilberrycart.settings.SettingsDiff
import org.bilberrycart.settings.SettingsTree

/** Compares the texts of two accepted configurations. */
internal object DocumentDiff {
    /** Returns the changes from [before] to [after], both in JSON. */
    fun between(before: String, after: String): List<SettingsChange> =
        SettingsDiff.between(parse(before), parse(after))

    private fun parse(text: String): SettingsTree.Branch =
        when (val node = SettingsTree.of(Json.parseToJsonElement(text), file = "")) {
            is SettingsTree.Branch -> node
            is SettingsTree.Leaf -> SettingsTree.Branch(file = "")
        }
}
