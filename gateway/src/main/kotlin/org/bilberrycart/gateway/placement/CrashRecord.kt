package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.gateway.model.UpstreamId

/**
 * The crashes that this node saw with calls of one content.
 *
 * @property upstreams when each upstream crashed.
 * @property isCleared whether such a call was answered, so that reports of other nodes are ignored.
 * @property updatedAt when the last crash or answer was recorded.
 */
public data class CrashRecord(
    val upstreams: PersistentMap<UpstreamId, Duration> = persistentMapOf(),
    val isCleared: Boolean = false,
    val updatedAt: Duration = Duration.ZERO,
) {
    internal fun withCrash(upstream: UpstreamId, now: Duration): CrashRecord =
        copy(upstreams = upstreams.put(upstream, now), updatedAt = now)
}
