package org.bilberrycart.settings

import kotlinx.serialization.json.JsonPrimitive

/** Checks values against [SettingsRules]; references are resolved in [root]. */
internal class RuleCheck(private val root: SettingsTree.Branch) {
    /** Returns the fault of [number], the value of [leaf], or null if it is in its range. */
    fun checkNumber(leaf: SettingsTree.Leaf, at: SettingsPath, number: Double): SettingsFault? {
        val rule = SettingsRules.ruleFor(at.pattern) as? SettingsRule.Range ?: return null
        if (number >= rule.min && number <= rule.max) return null
        val expected = "a number from ${formatBound(rule.min)} to ${formatBound(rule.max)}"
        return SettingsFault(leaf.file, at.path, expected, describe(leaf.value))
    }

    /** Returns the fault of [text], or null if it satisfies the rule for [pattern]. */
    fun checkText(file: String, path: String, pattern: String, text: String): SettingsFault? =
        when (val rule = SettingsRules.ruleFor(pattern)) {
            is SettingsRule.Matches -> SettingsFault(
                file,
                path,
                rule.expected,
                describe(JsonPrimitive(text)),
            ).takeUnless { rule.regex.matches(text) }

            is SettingsRule.Reference -> checkReference(file, path, rule.section, text)

            is SettingsRule.Range, is SettingsRule.MinEntries, null -> null
        }

    /** Returns a fault if [node] has too few entries, of which there are [count]. */
    fun checkEntries(node: SettingsTree, at: SettingsPath, count: Int): SettingsFault? {
        val rule = SettingsRules.ruleFor(at.pattern) as? SettingsRule.MinEntries ?: return null
        if (count >= rule.min) return null
        return SettingsFault(node.file, at.path, "at least ${rule.min} entries", "$count")
    }

    private fun checkReference(
        file: String,
        path: String,
        section: String,
        text: String,
    ): SettingsFault? {
        val known = (root.entries[section] as? SettingsTree.Branch)?.entries?.keys.orEmpty()
        if (text in known) return null
        val expected = "a key of $section" + suggestion(text, known)
        return SettingsFault(file, path, expected, describe(JsonPrimitive(text)))
    }

    private fun formatBound(bound: Double): String =
        if (bound % 1.0 == 0.0) bound.toLong().toString() else bound.toString()
}
