package org.bilberrycart.health

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId

/**
 * The state of [HealthFilter].
 *
 * @property upstreams the upstreams in the order in which they are polled.
 * @property nextIndex the index of the next upstream to poll.
 * @property lastPollAt when the last poll was sent; null before the first.
 * @property leavingIncarnations the highest incarnation in which each upstream is known to leave.
 */
public data class HealthState(
    val upstreams: PersistentList<Upstream> = persistentListOf(),
    val nextIndex: Int = 0,
    val lastPollAt: Duration? = null,
    val leavingIncarnations: PersistentMap<UpstreamId, Long> = persistentMapOf(),
)
