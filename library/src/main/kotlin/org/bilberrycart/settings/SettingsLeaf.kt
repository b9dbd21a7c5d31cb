package org.bilberrycart.settings

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** A [value] of merged settings, its [path] and the [file] that set it. */
@Serializable
public data class SettingsLeaf(val path: String, val file: String, val value: JsonElement)
