package org.bilberrycart.standins.platform

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.store.StoreRateLimiter

/**
 * The state of the platform stand-in.
 *
 * @property snapshots earlier states of the table, oldest first, for stale reads.
 * @property vms the changes to the list of VMs, oldest first; callers see them after the lag.
 * @property weightLimiter limits reads of weights to one in two seconds.
 * @property seed the state of the random draw that loses answers.
 */
data class StandInState(
    val table: Table = Table(),
    val snapshots: PersistentList<Snapshot> = persistentListOf(),
    val objects: PersistentMap<String, String> = persistentMapOf(),
    val vms: PersistentList<VmChange> = persistentListOf(),
    val faults: PlatformFaults = PlatformFaults(),
    val writeLimiter: StoreRateLimiter = rateLimiterOf(faults.writesPerSecond),
    val readLimiter: StoreRateLimiter = rateLimiterOf(faults.readsPerSecond),
    val weightLimiter: StoreRateLimiter = StoreRateLimiter(WEIGHT_READS_PER_SECOND, burst = 1.0),
    val counters: StandInCounters = StandInCounters(),
    val seed: Long = 1,
) {
    companion object {
        private const val WEIGHT_READS_PER_SECOND = 0.5
        private const val BURST_SECONDS = 0.1

        /** Returns a limiter to [perSecond] calls a second with a burst of a tenth of a second. */
        fun rateLimiterOf(perSecond: Double): StoreRateLimiter =
            StoreRateLimiter(perSecond, burst = maxOf(1.0, perSecond * BURST_SECONDS))
    }
}

/** The state of [table] at [takenAt]. */
data class Snapshot(val takenAt: Duration, val table: Table)

/** A change at [changedAt] of the VM [id] to [vm]; null if it was removed. */
data class VmChange(val changedAt: Duration, val id: String, val vm: VmMessage?)
