package org.bilberrycart.settings

/** Where a value is: its [path] for people, and the [pattern] by which its rule is found. */
internal data class SettingsPath(val path: String = "", val pattern: String = "") {
    /** Returns the path of the property [name]. */
    fun property(name: String): SettingsPath =
        SettingsPath(joinPath(path, name), joinPath(pattern, name))

    /** Returns the path of the value of a map at [key]. */
    fun entry(key: String): SettingsPath = SettingsPath(joinPath(path, key), joinPath(pattern, "*"))

    /** Returns the path of the item of an array at [index]. */
    fun item(index: Int): SettingsPath = SettingsPath("$path[$index]", joinPath(pattern, "*"))

    /** Returns the pattern of the keys of a map. */
    fun keyPattern(): String = joinPath(pattern, SettingsRules.KEY)
}
