package org.bilberrycart.settings

import kotlinx.serialization.Serializable

/**
 * One fault of a settings folder.
 *
 * @property file the file that set the faulty value.
 * @property path the keys from the root to the value, joined by dots.
 * @property expected what would be valid.
 * @property found what is there.
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
