package org.bilberrycart.settings

/** A settings file with its [name] and its content [text], which is JSON with comments. */
public data class SettingsFile(val name: String, val text: String)
