package org.bilberrycart.settings

import kotlinx.serialization.json.JsonPrimitive

/** Checks values against [SettingsRules]; references are looked up in [root]. */
internal class RuleCheck(private val root: SettingsNode.Branch) {
    fun checkNumber(leaf: SettingsNode.Leaf, at: SettingsPath, number: Double): SettingsFault? {
        val rule = SettingsRules.ruleAt(at.pattern) as? SettingsRule.Range ?: return null
        if (number >= rule.least && number <= rule.most) return null
        val expected = "a number from ${plain(rule.least)} to ${plain(rule.most)}"
        return SettingsFault(leaf.file, at.path, expected, describe(leaf.value))
    }

    fun checkText(file: String, path: String, pattern: String, text: String): SettingsFault? =
        when (val rule = SettingsRules.ruleAt(pattern)) {
            is SettingsRule.Matches -> SettingsFault(
                file,
                path,
                rule.expected,
                describe(JsonPrimitive(text)),
            ).takeUnless { rule.regex.matches(text) }

            is SettingsRule.Reference -> checkReference(file, path, rule.section, text)

            is SettingsRule.Range, is SettingsRule.Entries, null -> null
        }

    fun checkEntries(node: SettingsNode, at: SettingsPath, count: Int): SettingsFault? {
        val rule = SettingsRules.ruleAt(at.pattern) as? SettingsRule.Entries ?: return null
        if (count >= rule.least) return null
        return SettingsFault(node.file, at.path, "at least ${rule.least} entries", "$count")
    }

    private fun checkReference(
        file: String,
        path: String,
        section: String,
        text: String,
    ): SettingsFault? {
        val known = (root.entries[section] as? SettingsNode.Branch)?.entries?.keys.orEmpty()
        if (text in known) return null
        val expected = "a key of $section" + suggestion(text, known)
        return SettingsFault(file, path, expected, describe(JsonPrimitive(text)))
    }

    private fun plain(bound: Double): String =
        if (bound % 1.0 == 0.0) bound.toLong().toString() else bound.toString()
}
