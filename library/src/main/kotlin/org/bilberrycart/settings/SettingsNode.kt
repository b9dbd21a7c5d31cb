package org.bilberrycart.settings

import kotlinx.collections.immutable.PersistentMap
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** A value of merged settings files that remembers which file set it. */
public sealed class SettingsNode {
    /** The file that set this value last. */
    public abstract val file: String

    /** Returns this value as JSON, without its origins. */
    public abstract fun toJson(): JsonElement

    /** An object; files merge it key by key. */
    public data class Branch(
        override val file: String,
        val entries: PersistentMap<String, SettingsNode>,
    ) : SettingsNode() {
        override fun toJson(): JsonObject = JsonObject(entries.mapValues { it.value.toJson() })
    }

    /** A scalar or an array; a later file replaces it whole. */
    public data class Leaf(override val file: String, val value: JsonElement) : SettingsNode() {
        override fun toJson(): JsonElement = value
    }
}
