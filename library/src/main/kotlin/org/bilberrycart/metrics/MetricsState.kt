package org.bilberrycart.metrics

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.RequestId

/**
 * The state of the metrics duty.
 *
 * @property inFlight the admitted requests whose answers are not over.
 * @property minuteStart when the running minute began.
 */
public data class MetricsState(
    val inFlight: PersistentMap<RequestId, RequestTimes> = persistentMapOf(),
    val largest: LargestOrganisations = LargestOrganisations(),
    val minutes: WorstMinutes = WorstMinutes(),
    val minuteStart: Duration = Duration.ZERO,
)

/**
 * The times of one request in flight.
 *
 * @property lastToken when its last token was released; null before the first.
 */
public data class RequestTimes(
    val organisation: OrganisationId,
    val requestClass: RequestClass,
    val arrivedAt: Duration,
    val lastToken: Duration? = null,
)
