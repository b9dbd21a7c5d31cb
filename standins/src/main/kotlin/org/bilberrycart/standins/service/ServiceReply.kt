package org.bilberrycart.standins.service

import kotlinx.serialization.Serializable

/** What a waiting response receives from the service's duty. */
sealed class ServiceReply {
    /** The call took effect. */
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
