package org.bilberrycart.settings

/** What a value must satisfy beyond its type. */
internal sealed class SettingsRule {
    /** A number from [least] to [most]. */
    data class Range(val least: Double, val most: Double) : SettingsRule()

    /** Text that matches [regex], described as [expected]. */
    data class Matches(val regex: Regex, val expected: String) : SettingsRule()

    /** A key of the object [section] at the root. */
    data class Reference(val section: String) : SettingsRule()

    /** At least [least] entries. */
    data class Entries(val least: Int) : SettingsRule()
}
