package org.bilberrycart.decode

import org.bilberrycart.model.ServiceId

/**
 * A call to a plain service as a caller asks for it, before it is checked.
 *
 * @property key the caller's idempotency key; null if none came.
 * @property deadlineMillis the time for the answer; null for the default of the class.
 * @property isAction whether the call changes something.
 */
public data class CallDraft(
    val service: ServiceId,
    val operation: String,
    val body: String,
    val key: String? = null,
    val deadlineMillis: Long? = null,
    val isAction: Boolean = true,
)
