package org.bilberrycart.gateway.model

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList

/**
 * How to route, retry and limit calls to [host] whose path begins with [prefix].
 *
 * @property timeout the maximum time from the arrival of a call to its answer.
 * @property objective the latency objective for the answer, or for the first event of a stream.
 * @property maxAttempts the maximum number of attempts at a call that may have run.
 * @property isPublic whether calls need no API key.
 * @property targets the services among which calls are split by weight; never empty.
 * @property pauseObjective the latency objective for the gap between two events of a stream.
 */
public data class RouteRule(
    val name: String,
    val host: String,
    val prefix: String,
    val retryRule: RetryRule,
    val timeout: Duration,
    val objective: Duration,
    val maxAttempts: Int,
    val isPublic: Boolean,
    val targets: PersistentList<WeightedService>,
    val pauseObjective: Duration? = null,
)
