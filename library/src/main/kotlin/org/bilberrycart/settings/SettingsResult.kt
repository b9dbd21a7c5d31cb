package org.bilberrycart.settings

import kotlinx.collections.immutable.PersistentList

/** What came of reading settings of the type [T]. */
public sealed class SettingsResult<out T> {
    /** The settings are whole; [document] tells which file set each value. */
    public data class Valid<T>(val settings: T, val document: SettingsNode.Branch) :
        SettingsResult<T>()

    /** The settings have [faults], all of them, in the order of file and path. */
    public data class Invalid(val faults: PersistentList<SettingsFault>) :
        SettingsResult<Nothing>()
}
