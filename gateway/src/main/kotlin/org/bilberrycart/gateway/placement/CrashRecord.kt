package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * The crashes that this node saw with calls of one content.
 *
 * @property crashes when each crash was first noticed.
 * @property isCleared whether such a call was answered, so that reports of other nodes are ignored.
 * @property updatedAt when the last crash or answer was recorded.
 */
public data class CrashRecord(
    val crashes: PersistentMap<UpstreamCrash, Duration> = persistentMapOf(),
    val isCleared: Boolean = false,
    val updatedAt: Duration = Duration.ZERO,
) {
    /** Returns the record after [run] crashed at [now], which may be noticed several times. */
    internal fun withCrash(run: Incarnation, now: Duration): CrashRecord {
        val earlier = crashes.filterKeys { it.run == run }
        val isKnown = earlier.values.any { now - it < SAME_CRASH }
        return when {
            isKnown -> copy(updatedAt = now)
            else -> {
                val crash = UpstreamCrash(run, number = earlier.size + 1)
                copy(crashes = crashes.put(crash, now), updatedAt = now)
            }
        }
    }

    private companion object {
        /**
         * Crashes of one run within this time are the same one, which several calls notice; an
         * upstream takes longer to restart.
         */
        val SAME_CRASH = 2.seconds
    }
}
