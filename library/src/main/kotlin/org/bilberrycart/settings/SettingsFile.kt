package org.bilberrycart.settings

/** One file of a settings folder: its [name] and its [text], JSON with comments. */
public data class SettingsFile(val name: String, val text: String)
