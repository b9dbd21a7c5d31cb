package org.bilberrycart.daemon

/** Parses [text] as `FROM..TO` or as a single seed; returns null if it is neither. */
internal fun parseSeedRange(text: String): LongRange? {
    val parts = text.split("..").map { it.toLongOrNull() ?: return null }
    return when (parts.size) {
        1 -> parts[0]..parts[0]
        2 -> parts[0]..parts[1]
        else -> null
    }
}
