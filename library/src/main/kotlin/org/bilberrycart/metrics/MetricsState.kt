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
 * @property inFlight the admitted requests whose answers have not ended, up to the tracked number.
 * @property largest the organisations with their own histograms.
 * @property minutes the latencies of the current minute and the percentiles of earlier ones.
 * @property minuteStart when the current minute began.
 */
public data class MetricsState(
    val inFlight: PersistentMap<RequestId, RequestTimes> = persistentMapOf(),
    val largest: LargestOrganisations = LargestOrganisations(),
    val minutes: MinutePercentiles = MinutePercentiles(),
    val minuteStart: Duration = Duration.ZERO,
)

/**
 * The times of one request in flight.
 *
 * @property lastTokenAt when its latest token was released; null before the first token.
 */
public data class RequestTimes(
    val organisation: OrganisationId,
    val requestClass: RequestClass,
    val arrivedAt: Duration,
    val lastTokenAt: Duration? = null,
)
