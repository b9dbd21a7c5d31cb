package org.bilberrycart.settings

import kotlinx.serialization.json.JsonElement

private const val LARGEST_DISTANCE = 3
private const val LONGEST_WORD = 64
private const val DESCRIPTION_LIMIT = 60

/** Returns ` (did you mean "x"?)` for the word of [known] nearest to [word], or nothing. */
internal fun suggestion(word: String, known: Collection<String>): String {
    if (word.length > LONGEST_WORD) return ""
    val nearest = known.minByOrNull { distance(word, it) } ?: return ""
    val limit = minOf(LARGEST_DISTANCE, (word.length + 1) / 2)
    return if (distance(word, nearest) <= limit) " (did you mean \"$nearest\"?)" else ""
}

/** Returns [element] as JSON, shortened for a message. */
internal fun describe(element: JsonElement): String {
    val text = element.toString()
    return if (text.length <= DESCRIPTION_LIMIT) text else text.take(DESCRIPTION_LIMIT) + "..."
}

/** Returns the Levenshtein distance without regard to case. */
private fun distance(a: String, b: String): Int {
    val first = List(b.length + 1) { it }
    return a.foldIndexed(first) { i, row, char -> nextRow(row, i + 1, char, b) }.last()
}

private fun nextRow(row: List<Int>, start: Int, char: Char, word: String): List<Int> =
    word.indices.runningFold(start) { left, j ->
        val cost = if (word[j].equals(char, ignoreCase = true)) 0 else 1
        minOf(left + 1, row[j + 1] + 1, row[j] + cost)
    }
