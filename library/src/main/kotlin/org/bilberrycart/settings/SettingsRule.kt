package org.bilberrycart.settings

/** A constraint on a value in addition to its type. */
internal sealed class SettingsRule {
    /** The value is a number from [min] to [max], both inclusive. */
    data class Range(val min: Double, val max: Double) : SettingsRule()

    /** The value is a text that matches [regex]; fault messages describe it as [expected]. */
    data class Matches(val regex: Regex, val expected: String) : SettingsRule()

    /** The value is a key of the object [section] at the root of the settings. */
    data class Reference(val section: String) : SettingsRule()

    /** The map or array has at least [min] entries. */
    data class MinEntries(val min: Int) : SettingsRule()
}
