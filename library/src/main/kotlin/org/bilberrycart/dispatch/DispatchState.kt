package org.bilberrycart.dispatch

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId

/**
 * The state of the dispatch duty.
 *
 * @property open the attempts with an open exchange, and where each runs.
 * @property leaving the upstreams that take no new work.
 */
public data class DispatchState(
    val open: PersistentMap<AttemptId, Upstream> = persistentMapOf(),
    val leaving: PersistentSet<UpstreamId> = persistentSetOf(),
)
