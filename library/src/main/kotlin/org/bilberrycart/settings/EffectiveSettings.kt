package org.bilberrycart.settings

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject

/** Writes settings with the defaults that no file sets. */
public object EffectiveSettings {
    private const val DEFAULT = "default"
    private val json = Json { encodeDefaults = true }

    /** Returns all values of [settings] as JSON. */
    public fun toJson(settings: Settings): JsonObject {
        val node = json.encodeToJsonElement(NodeSettings.serializer(), settings.node)
        val fleet = json.encodeToJsonElement(FleetSettings.serializer(), settings.fleet)
        return JsonObject(mapOf("node" to node) + (fleet as JsonObject))
    }

    /** Returns all values of [valid], each with the file that set it or `default`. */
    public fun leaves(valid: SettingsResult.Valid<Settings>): List<SettingsLeaf> {
        val files = valid.document.leaves().associate { it.path to it.file }
        return SettingsNode.of(toJson(valid.settings), DEFAULT).leaves()
            .map { it.copy(file = files[it.path] ?: DEFAULT) }
    }
}
