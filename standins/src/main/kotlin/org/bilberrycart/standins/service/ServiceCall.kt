package org.bilberrycart.standins.service

/** Identifies an HTTP response that waits for a reply of the service's duty. */
@JvmInline
value class CallId(val value: Long)

/**
 * A call as the service receives it.
 *
 * @property key the idempotency key; empty for none.
 * @property attempt the attempt that the caller named; empty for none.
 * @property slot the slot that the call books or cancels; empty for none.
 * @property connection the remote port of the connection that the call arrived on.
 */
data class ServiceCall(
    val id: CallId,
    val operation: String,
    val key: String,
    val attempt: String,
    val slot: String,
    val connection: Int,
) {
    /** The key under which executions are counted; without [key], the attempt. */
    val executionKey: String
        get() = if (key.isEmpty()) "attempt:$attempt" else key
}
