package org.bilberrycart.gateway.model

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList

/**
 * Where calls to [host] whose path begins with [prefix] go, and what may be done with them.
 *
 * @property timeout the longest time that a call may be kept without an answer.
 * @property objective the time to the answer, or to the first event, that counts as good service.
 * @property maxAttempts the most upstreams that one call may be sent to.
 * @property isPublic whether calls need no key.
 * @property targets the services that share the calls, by weight; never empty.
 * @property pauseObjective the longest pause between two events that counts as good service.
 */
public data class RouteRule(
    val name: String,
    val host: String,
    val prefix: String,
    val repeat: RepeatRule,
    val timeout: Duration,
    val objective: Duration,
    val maxAttempts: Int,
    val isPublic: Boolean,
    val targets: PersistentList<WeightedService>,
    val pauseObjective: Duration? = null,
)
