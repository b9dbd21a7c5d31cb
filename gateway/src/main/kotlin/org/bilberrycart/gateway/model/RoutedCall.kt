package org.bilberrycart.gateway.model

import kotlin.time.Duration

/**
 * An admitted call with its route and service, as the filters after entry need it.
 *
 * @property arrivedAt when its head was read.
 * @property deadline the earlier of [callerDeadline] and the end of the route's timeout.
 * @property callerDeadline when the caller stops waiting for the answer.
 */
public data class RoutedCall(
    val key: CallKey,
    val head: CallHead,
    val body: Body,
    val route: RouteRule,
    val service: ServiceConfig,
    val organisation: String?,
    val arrivedAt: Duration,
    val deadline: Duration,
    val callerDeadline: Duration,
)
