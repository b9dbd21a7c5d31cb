package org.bilberrycart.settings

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** Merged settings as a tree whose values record the file that set them. */
public sealed class SettingsTree {
    /** The last file that set this value. */
    public abstract val file: String

    /** Returns this value as JSON, without the files. */
    public abstract fun toJson(): JsonElement

    /** Returns all scalars, arrays and empty objects of this value, which is at [path]. */
    public abstract fun leaves(path: String = ""): List<SettingsLeaf>

    /** An object, which is merged key by key. */
    public data class Branch(
        override val file: String,
        val entries: PersistentMap<String, SettingsTree> = persistentMapOf(),
    ) : SettingsTree() {
        /** Returns this object without [key]. */
        public fun without(key: String): Branch = copy(entries = entries.remove(key))

        override fun toJson(): JsonObject = JsonObject(entries.mapValues { it.value.toJson() })

        override fun leaves(path: String): List<SettingsLeaf> = when {
            entries.isEmpty() -> listOf(SettingsLeaf(path, file, toJson()))
            else -> entries.flatMap { (key, node) -> node.leaves(joinPath(path, key)) }
        }
    }

    /** A scalar or an array, which a later file replaces as a whole. */
    public data class Leaf(override val file: String, val value: JsonElement) : SettingsTree() {
        override fun toJson(): JsonElement = value

        override fun leaves(path: String): List<SettingsLeaf> =
            listOf(SettingsLeaf(path, file, value))
    }

    public companion object {
        /** Returns [element] as a tree in which [file] set all values. */
        public fun of(element: JsonElement, file: String): SettingsTree = when (element) {
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

/** Returns the path of [key] in the object at [path]; the root has the empty path. */
internal fun joinPath(path: String, key: String): String = if (path.isEmpty()) key else "$path.$key"
