package org.bilberrycart.settings

/**
 * Limits the nesting of JSON, with comments or without, before it is parsed.
 *
 * The parser recurses once per level, so that a text nested without limit would exhaust the stack.
 */
public object NestingDepth {
    /** The lexical context of the next character; SLASH and STAR follow that character. */
    private enum class ScanState { VALUE, STRING, ESCAPE, SLASH, LINE_COMMENT, BLOCK_COMMENT, STAR }

    /** Returns whether the objects and arrays in [text] are nested at most [limit] levels deep. */
    public fun isWithin(text: String, limit: Int): Boolean {
        var state = ScanState.VALUE
        var depth = 0
        for (char in text) {
            if (state == ScanState.VALUE || state == ScanState.SLASH) depth += depthChange(char)
            if (depth > limit) return false
            state = nextState(state, char)
        }
        return true
    }

    private fun depthChange(char: Char): Int = when (char) {
        '{', '[' -> 1
        '}', ']' -> -1
        else -> 0
    }

    private fun nextState(state: ScanState, char: Char): ScanState = when (state) {
        ScanState.VALUE -> afterValue(char)
        ScanState.STRING -> afterString(char)
        ScanState.ESCAPE -> ScanState.STRING
        ScanState.SLASH -> afterSlash(char)
        ScanState.LINE_COMMENT -> if (char == '\n') ScanState.VALUE else ScanState.LINE_COMMENT
        ScanState.BLOCK_COMMENT -> if (char == '*') ScanState.STAR else ScanState.BLOCK_COMMENT
        ScanState.STAR -> afterStar(char)
    }

    private fun afterValue(char: Char): ScanState = when (char) {
        '"' -> ScanState.STRING
        '/' -> ScanState.SLASH
        else -> ScanState.VALUE
    }

    private fun afterString(char: Char): ScanState = when (char) {
        '"' -> ScanState.VALUE
        '\\' -> ScanState.ESCAPE
        else -> ScanState.STRING
    }

    private fun afterSlash(char: Char): ScanState = when (char) {
        '/' -> ScanState.LINE_COMMENT
        '*' -> ScanState.BLOCK_COMMENT
        else -> afterValue(char)
    }

    private fun afterStar(char: Char): ScanState = when (char) {
        '/' -> ScanState.VALUE
        '*' -> ScanState.STAR
        else -> ScanState.BLOCK_COMMENT
    }
}
