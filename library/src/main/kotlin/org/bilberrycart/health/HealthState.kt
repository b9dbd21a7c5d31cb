package org.bilberrycart.health

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId

/**
 * What the health duty knows.
 *
 * @property upstreams the upstreams in the order in which they are polled.
 * @property next the position of the next one to poll.
 * @property polledAt when the last poll was sent; null before the first.
 * @property leaving the highest incarnation that is known to leave, by upstream.
 */
public data class HealthState(
    val upstreams: PersistentList<Upstream> = persistentListOf(),
    val next: Int = 0,
    val polledAt: Duration? = null,
    val leaving: PersistentMap<UpstreamId, Long> = persistentMapOf(),
)
