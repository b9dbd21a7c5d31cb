package org.bilberrycart.gateway.relay

import org.bilberrycart.gateway.model.Body

/**
 * The events in a run of bytes.
 *
 * @property whole the bytes of all complete events.
 * @property rest the bytes behind the last complete event.
 * @property ids the id of each complete event, in order; null for one without an id.
 */
internal data class EventFrames(val whole: Body, val rest: Body, val ids: List<Long?>) {
    companion object {
        private const val LINE_FEED = '\n'.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private const val ID_FIELD = "id:"

        /** Splits [before] followed by [added] behind the last blank line. */
        fun split(before: Body, added: Body): EventFrames {
            val bytes = if (before.size == 0) added.bytes else before.bytes + added.bytes
            val ends = ends(bytes)
            val end = ends.lastOrNull() ?: 0
            val starts = listOf(0) + ends.dropLast(1)
            val ids = if (ends.isEmpty()) {
                emptyList()
            } else {
                starts.zip(ends) { from, to ->
                    id(bytes, from, to)
                }
            }
            return EventFrames(
                whole = Body(bytes.copyOfRange(0, end)),
                rest = Body(bytes.copyOfRange(end, bytes.size)),
                ids = ids,
            )
        }

        /** Returns the position behind each blank line. */
        private fun ends(bytes: ByteArray): List<Int> =
            bytes.indices.filter { bytes[it] == LINE_FEED && endsBlankLine(bytes, it) }
                .map { it + 1 }

        private fun endsBlankLine(bytes: ByteArray, position: Int): Boolean {
            val before = position - 1
            if (before < 0) return false
            if (bytes[before] == LINE_FEED) return true
            return bytes[before] == CARRIAGE_RETURN && before > 0 && bytes[before - 1] == LINE_FEED
        }

        private fun id(bytes: ByteArray, from: Int, to: Int): Long? =
            String(bytes, from, to - from, Charsets.ISO_8859_1).lineSequence()
                .firstOrNull { it.startsWith(ID_FIELD) }
                ?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()
    }
}
