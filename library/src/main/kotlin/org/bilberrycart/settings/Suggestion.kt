package org.bilberrycart.settings

import kotlinx.serialization.json.JsonElement

private const val MAX_EDIT_DISTANCE = 3
private const val MAX_WORD_LENGTH = 64
private const val MAX_TEXT_LENGTH = 60

/** Returns ` (did you mean "x"?)` for the word in [known] closest to [word], or an empty text. */
internal fun suggestion(word: String, known: Collection<String>): String {
    if (word.length > MAX_WORD_LENGTH) return ""
    val nearest = known.minByOrNull { distance(word, it) } ?: return ""
    val limit = minOf(MAX_EDIT_DISTANCE, (word.length + 1) / 2)
    return if (distance(word, nearest) <= limit) " (did you mean \"$nearest\"?)" else ""
}

/** Returns [element] as JSON, truncated for messages. */
internal fun describe(element: JsonElement): String {
    val text = element.toString()
    return if (text.length <= MAX_TEXT_LENGTH) text else text.take(MAX_TEXT_LENGTH) + "..."
}

/** Returns the case-insensitive Levenshtein distance between [a] and [b]. */
private fun distance(a: String, b: String): Int {
    val first = List(b.length + 1) { it }
    return a.foldIndexed(first) { i, row, char -> nextRow(row, i + 1, char, b) }.last()
}

private fun nextRow(row: List<Int>, start: Int, char: Char, word: String): List<Int> =
    word.indices.runningFold(start) { left, j ->
        val cost = if (word[j].equals(char, ignoreCase = true)) 0 else 1
        minOf(left + 1, row[j + 1] + 1, row[j] + cost)
    }
