package org.bilberrycart.idempotency

import org.bilberrycart.model.RequestId
import org.bilberrycart.store.StoreContext

/** What the idempotency duty gets back with the result of its store call [operation]. */
public data class IdempotencyContext(
    val request: RequestId,
    val operation: Long,
    val isRead: Boolean,
) : StoreContext
