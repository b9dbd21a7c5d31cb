package org.bilberrycart.gateway.relay

import org.bilberrycart.gateway.model.Body

/**
 * The server-sent events found in a sequence of bytes; a blank line ends each event.
 *
 * Further blank lines are no events and belong to the next one.
 *
 * @property completeEvents the bytes of all complete events.
 * @property partialEvent the bytes after the last complete event.
 * @property ids the id of each complete event, in order; null for an event without a numeric id.
 */
internal data class EventFrames(
    val completeEvents: Body,
    val partialEvent: Body,
    val ids: List<Long?>,
) {
    companion object {
        private const val LINE_FEED = '\n'.code.toByte()
        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private const val ID_FIELD = "id:"

        /** Splits the bytes of [before] followed by [added] after the last blank line. */
        fun split(before: Body, added: Body): EventFrames {
            val bytes = if (before.size == 0) added.bytes else before.bytes + added.bytes
            val eventEnds = eventEnds(bytes)
            val end = eventEnds.lastOrNull() ?: 0
            val starts = listOf(0) + eventEnds.dropLast(1)
            val ids = if (eventEnds.isEmpty()) {
                emptyList()
            } else {
                starts.zip(eventEnds) { from, to ->
                    eventId(bytes, from, to)
                }
            }
            return EventFrames(
                completeEvents = Body(bytes.copyOfRange(0, end)),
                partialEvent = Body(bytes.copyOfRange(end, bytes.size)),
                ids = ids,
            )
        }

        /** Returns the position after each blank line that ends an event. */
        private fun eventEnds(bytes: ByteArray): List<Int> =
            bytes.indices.filter { bytes[it] == LINE_FEED && isEventEnd(bytes, it) }
                .map { it + 1 }

        /** Whether the line feed at [position] ends a blank line behind one that isn't blank. */
        private fun isEventEnd(bytes: ByteArray, position: Int): Boolean {
            if (!isBlankLineEnd(bytes, position)) return false
            val hasReturn = position > 0 && bytes[position - 1] == CARRIAGE_RETURN
            val before = if (hasReturn) position - 2 else position - 1
            return before >= 0 && !isBlankLineEnd(bytes, before)
        }

        private fun isBlankLineEnd(bytes: ByteArray, position: Int): Boolean {
            val before = position - 1
            if (before < 0 || bytes[before] == LINE_FEED) return true
            val isReturn = bytes[before] == CARRIAGE_RETURN
            return isReturn && (before == 0 || bytes[before - 1] == LINE_FEED)
        }

        private fun eventId(bytes: ByteArray, from: Int, to: Int): Long? =
            String(bytes, from, to - from, Charsets.ISO_8859_1).lineSequence()
                .firstOrNull { it.startsWith(ID_FIELD) }
                ?.removePrefix(ID_FIELD)?.trim()?.toLongOrNull()
    }
}
