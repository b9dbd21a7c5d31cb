package org.bilberrycart.model

import kotlinx.serialization.Serializable

/**
 * The id of one server-sent event: the caller's position in a generation.
 *
 * @property epoch the epoch in which the token was released.
 * @property index the index of the token, from 0.
 */
@Serializable
public data class EventId(val request: RequestId, val epoch: Int, val index: Int) {
    override fun toString(): String = "$request:$epoch:$index"

    public companion object {
        /** Parses the form that [toString] gives; returns null if [text] is not of that form. */
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
