package org.bilberrycart.decode

import org.bilberrycart.model.ServiceId

/**
 * The decoded but not yet validated request of a caller for a call to a plain service.
 *
 * @property operation the name of the operation of the service.
 * @property body the body, which is passed to the service unchanged.
 * @property key the caller's idempotency key; null if it sent none.
 * @property deadlineMillis the time limit for the answer in milliseconds; null for the default of
 *   the request class.
 * @property isAction whether the call may change state; false for a check that only reads.
 */
public data class CallDraft(
    val service: ServiceId,
    val operation: String,
    val body: String,
    val key: String? = null,
    val deadlineMillis: Long? = null,
    val isAction: Boolean = true,
)
