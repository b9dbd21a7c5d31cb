package org.bilberrycart.admission

import kotlin.time.Duration
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.ServiceId

/**
 * A request that was admitted and whose answer has not ended.
 *
 * @property startedAt when its first attempt was dispatched; before that, when it arrived.
 */
public data class AdmittedRequest(
    val organisation: OrganisationId,
    val service: ServiceId,
    val requestClass: RequestClass,
    val startedAt: Duration,
)
