package org.bilberrycart.settings

/**
 * Finds how deeply a text of JSON with comments is nested, before it is parsed.
 *
 * The parser recurses at each level, so that an unbounded text would exhaust the stack.
 */
internal object NestingDepth {
    /** Where a character stands. */
    private enum class Place { VALUE, STRING, ESCAPE, SLASH, LINE_COMMENT, BLOCK_COMMENT, STAR }

    /** Returns whether the objects and arrays in [text] are nested at most [limit] levels deep. */
    fun isWithin(text: String, limit: Int): Boolean {
        var place = Place.VALUE
        var depth = 0
        for (char in text) {
            if (place == Place.VALUE || place == Place.SLASH) depth += change(char)
            if (depth > limit) return false
            place = next(place, char)
        }
        return true
    }

    private fun change(char: Char): Int = when (char) {
        '{', '[' -> 1
        '}', ']' -> -1
        else -> 0
    }

    private fun next(place: Place, char: Char): Place = when (place) {
        Place.VALUE -> afterValue(char)
        Place.STRING -> afterString(char)
        Place.ESCAPE -> Place.STRING
        Place.SLASH -> afterSlash(char)
        Place.LINE_COMMENT -> if (char == '\n') Place.VALUE else Place.LINE_COMMENT
        Place.BLOCK_COMMENT -> if (char == '*') Place.STAR else Place.BLOCK_COMMENT
        Place.STAR -> afterStar(char)
    }

    private fun afterValue(char: Char): Place = when (char) {
        '"' -> Place.STRING
        '/' -> Place.SLASH
        else -> Place.VALUE
    }

    private fun afterString(char: Char): Place = when (char) {
        '"' -> Place.VALUE
        '\\' -> Place.ESCAPE
        else -> Place.STRING
    }

    private fun afterSlash(char: Char): Place = when (char) {
        '/' -> Place.LINE_COMMENT
        '*' -> Place.BLOCK_COMMENT
        else -> afterValue(char)
    }

    private fun afterStar(char: Char): Place = when (char) {
        '/' -> Place.VALUE
        '*' -> Place.STAR
        else -> Place.BLOCK_COMMENT
    }
}
