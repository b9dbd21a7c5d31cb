package org.bilberrycart.standins.platform

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.store.StoreRateLimiter

/**
 * All that the platform stand-in holds.
 *
 * @property past earlier states of the table, oldest first, for answers from the past.
 * @property vms what callers will see once the lag is over, in the order of the changes.
 */
data class StandinState(
    val table: Table = Table(),
    val past: PersistentList<Snapshot> = persistentListOf(),
    val objects: PersistentMap<String, String> = persistentMapOf(),
    val vms: PersistentList<VmChange> = persistentListOf(),
    val faults: Faults = Faults(),
    val writeBucket: StoreRateLimiter = bucketOf(faults.writesPerSecond),
    val readBucket: StoreRateLimiter = bucketOf(faults.readsPerSecond),
    val weightBucket: StoreRateLimiter = StoreRateLimiter(WEIGHT_READS_PER_SECOND, burst = 1.0),
    val counters: StandinCounters = StandinCounters(),
    val seed: Long = 1,
) {
    companion object {
        private const val WEIGHT_READS_PER_SECOND = 0.5
        private const val BURST_SECONDS = 0.1

        /** Returns a bucket of [perSecond] calls with a burst of a tenth of a second. */
        fun bucketOf(perSecond: Double): StoreRateLimiter =
            StoreRateLimiter(perSecond, burst = maxOf(1.0, perSecond * BURST_SECONDS))
    }
}

/** The [table] as it was at [takenAt]. */
data class Snapshot(val takenAt: Duration, val table: Table)

/** From [changedAt] on the VM [id] is [vm]; null if it is gone. */
data class VmChange(val changedAt: Duration, val id: String, val vm: VmMessage?)
