package org.bilberrycart.settings

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject

/** Serializes settings together with the default values that no file overrides. */
public object EffectiveSettings {
    private const val DEFAULT = "default"
    private val json = Json { encodeDefaults = true }

    /** Returns all values of [settings] as JSON. */
    public fun toJson(settings: Settings): JsonObject {
        val node = json.encodeToJsonElement(NodeSettings.serializer(), settings.node)
        val fleet = json.encodeToJsonElement(FleetSettings.serializer(), settings.fleet)
        return JsonObject(mapOf("node" to node) + (fleet as JsonObject))
    }

    /** Returns all values of [valid], each with the file that set it, or `default` if none did. */
    public fun leaves(valid: SettingsResult.Valid<Settings>): List<SettingsLeaf> {
        val files = valid.document.leaves().associate { it.path to it.file }
        return SettingsTree.of(toJson(valid.settings), DEFAULT).leaves()
            .map { it.copy(file = files[it.path] ?: DEFAULT) }
    }
}
