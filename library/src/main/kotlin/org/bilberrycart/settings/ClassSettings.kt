package org.bilberrycart.settings

import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.bilberrycart.model.RequestClass

/**
 * The settings of one [RequestClass].
 *
 * @property deadline the time allowed for the complete answer if the caller sets no deadline.
 * @property longestDeadline the longest deadline that a caller may set.
 */
@Serializable
public data class ClassSettings(
    @SerialName("deadlineMillis") val deadline: Millis,
    @SerialName("longestDeadlineMillis") val longestDeadline: Millis = 60.minutes,
) {
    public companion object {
        /** Returns the settings of [requestClass] that apply if no settings file sets them. */
        public fun defaultOf(requestClass: RequestClass): ClassSettings = when (requestClass) {
            RequestClass.SHORT_QUESTION -> ClassSettings(deadline = 10.seconds)
            RequestClass.LONG_DRAFT -> ClassSettings(deadline = 15.minutes)
            RequestClass.CHECK -> ClassSettings(deadline = 5.seconds)
            RequestClass.ACTION -> ClassSettings(deadline = 10.seconds)
        }
    }
}
