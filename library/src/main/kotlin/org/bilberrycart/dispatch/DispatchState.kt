package org.bilberrycart.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId

/**
 * The immutable state of the dispatch filter.
 *
 * @property openAttempts the attempts that have an open exchange, each with its upstream.
 * @property leavingUpstreams the upstreams that accept no new work.
 */
public data class DispatchState(
    val openAttempts: PersistentMap<AttemptId, Upstream> = persistentMapOf(),
    val leavingUpstreams: PersistentSet<UpstreamId> = persistentSetOf(),
)
