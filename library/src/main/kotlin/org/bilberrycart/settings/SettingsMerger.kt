package org.bilberrycart.settings

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject

/** Merges files: objects by key, null removes a key, everything else replaces. */
internal object SettingsMerger {
    /** A merged object and the faults found on the way. */
    data class Merged(
        val node: SettingsNode.Branch,
        val faults: PersistentList<SettingsFault> = persistentListOf(),
    ) {
        fun with(key: String, child: SettingsNode): Merged =
            copy(node = node.copy(entries = node.entries.put(key, child)))
    }

    fun merge(files: List<SettingsParser.Parsed.Whole>): Merged =
        files.fold(Merged(SettingsNode.Branch(file = files.firstOrNull()?.file.orEmpty()))) {
                merged,
                file,
            ->
            val refined = refine(merged.node, file.root, file.file, path = "")
            refined.copy(faults = merged.faults.addAll(refined.faults))
        }

    private fun refine(
        base: SettingsNode.Branch,
        over: JsonObject,
        file: String,
        path: String,
    ): Merged = over.entries.fold(Merged(base.copy(file = file))) { merged, (key, value) ->
        put(merged, key, value, joinPath(path, key))
    }

    private fun put(merged: Merged, key: String, value: JsonElement, path: String): Merged {
        val file = merged.node.file
        val earlier = merged.node.entries[key]
        return when (value) {
            is JsonNull -> remove(merged, key, path)

            is JsonObject -> {
                val base = earlier as? SettingsNode.Branch ?: SettingsNode.Branch(file)
                val refined = refine(base, value, file, path)
                merged.with(key, refined.node).copy(faults = merged.faults.addAll(refined.faults))
            }

            else -> merged.with(key, SettingsNode.Leaf(file, value))
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
