package org.bilberrycart.settings

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** A value of merged settings files that remembers which file set it. */
public sealed class SettingsNode {
    /** The file that set this value last. */
    public abstract val file: String

    /** Returns this value as JSON, without its origins. */
    public abstract fun toJson(): JsonElement

    /** Returns the scalars, arrays and empty objects within, with their paths below [path]. */
    public abstract fun leaves(path: String = ""): List<SettingsLeaf>

    /** An object; files merge it key by key. */
    public data class Branch(
        override val file: String,
        val entries: PersistentMap<String, SettingsNode> = persistentMapOf(),
    ) : SettingsNode() {
        /** Returns this object without [key]. */
        public fun without(key: String): Branch = copy(entries = entries.remove(key))

        override fun toJson(): JsonObject = JsonObject(entries.mapValues { it.value.toJson() })

        override fun leaves(path: String): List<SettingsLeaf> = when {
            entries.isEmpty() -> listOf(SettingsLeaf(path, file, toJson()))
            else -> entries.flatMap { (key, node) -> node.leaves(joinPath(path, key)) }
        }
    }

    /** A scalar or an array; a later file replaces it whole. */
    public data class Leaf(override val file: String, val value: JsonElement) : SettingsNode() {
        override fun toJson(): JsonElement = value

        override fun leaves(path: String): List<SettingsLeaf> =
            listOf(SettingsLeaf(path, file, value))
    }

    public companion object {
        /** Returns [element] as a node that [file] set. */
        public fun of(element: JsonElement, file: String): SettingsNode = when (element) {
            is JsonObject -> Branch(
                file,
                element.mapValues {
                    of(it.value, file)
                }.toPersistentMap(),
            )
            else -> Leaf(file, element)
        }
    }
}

internal fun joinPath(path: String, key: String): String = if (path.isEmpty()) key else "$path.$key"
