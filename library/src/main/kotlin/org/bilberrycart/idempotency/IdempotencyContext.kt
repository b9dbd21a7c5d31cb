package org.bilberrycart.idempotency

import org.bilberrycart.model.RequestId
import org.bilberrycart.store.StoreContext

/**
 * Identifies the store call that a result belongs to.
 *
 * @property storeCallId the number that the idempotency duty gave the store call.
 * @property isRead whether the store call was a read.
 */
public data class IdempotencyContext(
    val request: RequestId,
    val storeCallId: Long,
    val isRead: Boolean,
) : StoreContext
