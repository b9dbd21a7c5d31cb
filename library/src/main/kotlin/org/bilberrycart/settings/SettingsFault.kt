package org.bilberrycart.settings

import kotlinx.serialization.Serializable

/**
 * A validation error in settings files.
 *
 * @property file the file that set the invalid value.
 * @property path the keys from the root to the value, joined by dots; empty for the whole file.
 * @property expected a description of valid values.
 * @property found a description of the value found.
 */
@Serializable
public data class SettingsFault(
    val file: String,
    val path: String,
    val expected: String,
    val found: String,
) {
    override fun toString(): String {
        val place = if (path.isEmpty()) file else "$file: $path"
        return "$place: expected $expected, found $found"
    }
}
