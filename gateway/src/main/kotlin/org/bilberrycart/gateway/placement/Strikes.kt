package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.gateway.model.UpstreamId

/**
 * The losses that one node saw with calls of one content.
 *
 * @property upstreams when each upstream was lost.
 * @property isCleared whether such a call was answered since others told of losses.
 * @property newest when the last loss or answer was seen.
 */
public data class Strikes(
    val upstreams: PersistentMap<UpstreamId, Duration> = persistentMapOf(),
    val isCleared: Boolean = false,
    val newest: Duration = Duration.ZERO,
) {
    internal fun with(upstream: UpstreamId, now: Duration): Strikes =
        copy(upstreams = upstreams.put(upstream, now), newest = now)
}
