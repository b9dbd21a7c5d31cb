package org.bilberrycart.settings

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/**
 * A value that differs between two settings documents.
 *
 * @property before the value in the first document; null if absent.
 * @property after the value in the second document; null if absent.
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

/** Compares two settings documents value by value. */
public object SettingsDiff {
    /** Returns the changes from [before] to [after], sorted by path. */
    public fun between(
        before: SettingsTree.Branch,
        after: SettingsTree.Branch,
    ): List<SettingsChange> {
        val old = before.leaves().associate { it.path to it.value }
        val new = after.leaves().associate { it.path to it.value }
        return (old.keys + new.keys).filter { old[it] != new[it] }.sorted()
            .map { SettingsChange(it, old[it], new[it]) }
    }
}
