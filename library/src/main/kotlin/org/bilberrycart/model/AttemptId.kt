package org.bilberrycart.model

import kotlinx.serialization.Serializable

/**
 * Identifies one dispatch of a request to one upstream.
 *
 * @property epoch the epoch of the generation's owner; each takeover increases it by one.
 * @property number the number of the attempt within its epoch, starting at 1.
 */
@Serializable
public data class AttemptId(val request: RequestId, val epoch: Int, val number: Int) {
    override fun toString(): String = "$request.$epoch.$number"

    public companion object {
        /** Parses the output of [toString]; returns null if [text] has another format. */
        public fun parse(text: String): AttemptId? {
            val parts = text.split('.')
            if (parts.size != PART_COUNT) return null
            val epoch = parts[1].toIntOrNull() ?: return null
            val number = parts[2].toIntOrNull() ?: return null
            return AttemptId(RequestId(parts[0]), epoch, number)
        }

        private const val PART_COUNT = 3
    }
}
