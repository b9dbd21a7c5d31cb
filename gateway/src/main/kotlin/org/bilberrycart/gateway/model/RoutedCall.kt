package org.bilberrycart.gateway.model

import kotlin.time.Duration

/**
 * A call that the configuration allows, with all that later filters need.
 *
 * @property arrivedAt when its head was read.
 * @property endsAt when the caller stops waiting, or when the route's time is over, if earlier.
 * @property callerLeavesAt when the caller stops waiting.
 */
public data class RoutedCall(
    val key: CallKey,
    val head: CallHead,
    val body: Body,
    val route: RouteRule,
    val service: ServiceRule,
    val organisation: String?,
    val arrivedAt: Duration,
    val endsAt: Duration,
    val callerLeavesAt: Duration,
)
