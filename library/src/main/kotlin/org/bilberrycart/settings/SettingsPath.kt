package org.bilberrycart.settings

/** The location of a value: its [path] for messages, and the [pattern] that selects its rule. */
internal data class SettingsPath(val path: String = "", val pattern: String = "") {
    /** Returns the location of the property [name]. */
    fun property(name: String): SettingsPath =
        SettingsPath(joinPath(path, name), joinPath(pattern, name))

    /** Returns the location of the value at [key] of a map. */
    fun entry(key: String): SettingsPath = SettingsPath(joinPath(path, key), joinPath(pattern, "*"))

    /** Returns the location of the item at [index] of an array. */
    fun item(index: Int): SettingsPath = SettingsPath("$path[$index]", joinPath(pattern, "*"))

    /** Returns the pattern that selects the rule for the keys of a map. */
    fun keyPattern(): String = joinPath(pattern, SettingsRules.KEY)
}
