package org.bilberrycart.settings

import kotlinx.collections.immutable.PersistentList

/** The result of reading settings of the type [T]. */
public sealed class SettingsResult<out T> {
    /** The settings are valid; [document] records which file set each value. */
    public data class Valid<T>(val settings: T, val document: SettingsTree.Branch) :
        SettingsResult<T>()

    /** The settings are invalid; [faults] are all their faults, sorted by file and path. */
    public data class Invalid(val faults: PersistentList<SettingsFault>) :
        SettingsResult<Nothing>()
}
