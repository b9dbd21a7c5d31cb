package org.bilberrycart.model

import kotlinx.serialization.Serializable

/**
 * The id of a server-sent event; it marks the caller's position in a generation.
 *
 * @property epoch the epoch in which the token was released.
 * @property index the index of the token, starting at 0; -1 is the position before the first token.
 */
@Serializable
public data class EventId(val request: RequestId, val epoch: Int, val index: Int) {
    override fun toString(): String = "$request:$epoch:$index"

    public companion object {
        /** Parses the output of [toString]; returns null if [text] has another format. */
        public fun parse(text: String): EventId? {
            val match = PATTERN.matchEntire(text) ?: return null
            val (request, epoch, index) = match.destructured
            val epochNumber = epoch.toIntOrNull() ?: return null
            val indexNumber = index.toIntOrNull() ?: return null
            return EventId(RequestId(request), epochNumber, indexNumber)
        }

        private val PATTERN = Regex("([A-Za-z0-9-]{1,64}):([0-9]{1,9}):(-1|[0-9]{1,9})")
    }
}
