package org.bilberrycart.settings

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/**
 * One value that differs between two documents.
 *
 * @property before the value in the first one; null if it is not there.
 * @property after the value in the second one; null if it is not there.
 */
@Serializable
public data class SettingsChange(
    val path: String,
    val before: JsonElement? = null,
    val after: JsonElement? = null,
) {
    override fun toString(): String = when {
        before == null -> "+ $path: $after"
        after == null -> "- $path: $before"
        else -> "~ $path: $before -> $after"
    }
}

/** Compares settings value by value. */
public object SettingsDiff {
    /** Returns what changes from [before] to [after], in the order of the paths. */
    public fun between(
        before: SettingsNode.Branch,
        after: SettingsNode.Branch,
    ): List<SettingsChange> {
        val old = before.leaves().associate { it.path to it.value }
        val new = after.leaves().associate { it.path to it.value }
        return (old.keys + new.keys).filter { old[it] != new[it] }.sorted()
            .map { SettingsChange(it, old[it], new[it]) }
    }
}
