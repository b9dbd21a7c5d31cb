package org.bilberrycart.idempotency

import org.bilberrycart.model.IdempotencyKey
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.ServiceId

/** What identifies one call that may run at most once, over all nodes. */
public data class RecordKey(
    val organisation: OrganisationId,
    val service: ServiceId,
    val key: IdempotencyKey,
) {
    override fun toString(): String = "$organisation/$service/$key"
}
