package org.bilberrycart.daemon

/** Parses `FROM..TO` or one number; returns null if [text] is neither. */
internal fun seedRange(text: String): LongRange? {
    val parts = text.split("..").map { it.toLongOrNull() ?: return null }
    return when (parts.size) {
        1 -> parts[0]..parts[0]
        2 -> parts[0]..parts[1]
        else -> null
    }
}
