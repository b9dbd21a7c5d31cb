package org.bilberrycart.idempotency

import org.bilberrycart.model.IdempotencyKey
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.ServiceId

/** Identifies a call that may run at most once, across all nodes. */
public data class RecordKey(
    val organisation: OrganisationId,
    val service: ServiceId,
    val key: IdempotencyKey,
) {
    override fun toString(): String = "$organisation/$service/$key"
}
