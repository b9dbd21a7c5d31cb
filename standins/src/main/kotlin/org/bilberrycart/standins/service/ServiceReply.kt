package org.bilberrycart.standins.service

import kotlinx.serialization.Serializable

/** A reply of the service's duty to a waiting response. */
sealed class ServiceReply {
    /**
     * The call took effect.
     *
     * @property execution how often calls with this key have taken effect, this one included.
     * @property booked whether [slot] is booked after the call.
     */
    @Serializable
    data class Executed(
        val operation: String,
        val key: String,
        val execution: Int,
        val slot: String,
        val booked: Boolean,
    ) : ServiceReply()

    /** The call was refused with the HTTP [status] and had no effect. */
    data class Refused(val status: Int, val error: String) : ServiceReply()

    /** A fault is in force. */
    data object Done : ServiceReply()
}
