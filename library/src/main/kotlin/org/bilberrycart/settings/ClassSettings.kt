package org.bilberrycart.settings

import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.bilberrycart.model.RequestClass

/**
 * The settings of one [RequestClass].
 *
 * @property deadline the time for the whole answer when the caller names none.
 * @property longestDeadline the longest time that a caller may name.
 */
@Serializable
public data class ClassSettings(
    @SerialName("deadlineMillis") val deadline: Millis,
    @SerialName("longestDeadlineMillis") val longestDeadline: Millis = 60.minutes,
) {
    public companion object {
        /** Returns the settings of [requestClass] for folders that name none. */
        public fun defaultOf(requestClass: RequestClass): ClassSettings = when (requestClass) {
            RequestClass.SHORT_QUESTION -> ClassSettings(deadline = 10.seconds)
            RequestClass.LONG_DRAFT -> ClassSettings(deadline = 15.minutes)
            RequestClass.CHECK -> ClassSettings(deadline = 5.seconds)
            RequestClass.ACTION -> ClassSettings(deadline = 10.seconds)
        }
    }
}
