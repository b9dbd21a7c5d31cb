package org.bilberrycart.settings

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject

/**
 * Merges settings files in their given order.
 *
 * Objects are merged key by key, null removes a key, and any other value replaces the earlier one.
 */
internal object SettingsMerger {
    /** A merged object and the faults found while merging. */
    data class Merged(
        val node: SettingsTree.Branch,
        val faults: PersistentList<SettingsFault> = persistentListOf(),
    ) {
        /** Returns a copy in which [key] has the value [child]. */
        fun withEntry(key: String, child: SettingsTree): Merged =
            copy(node = node.copy(entries = node.entries.put(key, child)))
    }

    /** Merges [files]; removing a key that no earlier file set is a fault. */
    fun merge(files: List<SettingsParser.Parsed.Success>): Merged =
        files.fold(Merged(SettingsTree.Branch(file = files.firstOrNull()?.file.orEmpty()))) {
                merged,
                file,
            ->
            val result = applyOverlay(merged.node, file.root, file.file, path = "")
            result.copy(faults = merged.faults.addAll(result.faults))
        }

    private fun applyOverlay(
        base: SettingsTree.Branch,
        overlay: JsonObject,
        file: String,
        path: String,
    ): Merged = overlay.entries.fold(Merged(base.copy(file = file))) { merged, (key, value) ->
        put(merged, key, value, joinPath(path, key))
    }

    private fun put(merged: Merged, key: String, value: JsonElement, path: String): Merged {
        val file = merged.node.file
        val earlier = merged.node.entries[key]
        return when (value) {
            is JsonNull -> remove(merged, key, path)

            is JsonObject -> {
                val base = earlier as? SettingsTree.Branch ?: SettingsTree.Branch(file)
                val result = applyOverlay(base, value, file, path)
                merged.withEntry(key, result.node)
                    .copy(faults = merged.faults.addAll(result.faults))
            }

            else -> merged.withEntry(key, SettingsTree.Leaf(file, value))
        }
    }

    private fun remove(merged: Merged, key: String, path: String): Merged = when {
        key in merged.node.entries -> merged.copy(node = merged.node.without(key))

        else -> {
            val expected = "a value that an earlier file set, to remove it"
            val fault = SettingsFault(merged.node.file, path, expected, found = "nothing")
            merged.copy(faults = merged.faults.add(fault))
        }
    }
}
