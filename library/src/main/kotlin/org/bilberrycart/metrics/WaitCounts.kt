package org.bilberrycart.metrics

import kotlin.math.ceil
import kotlin.math.log10
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * Counts of waits in buckets of equal ratio, [PER_DECADE] to a power of ten.
 *
 * Its size does not grow with the number of waits.
 */
public data class WaitCounts(
    val counts: PersistentMap<Int, Long> = persistentMapOf(),
    val total: Long = 0,
) {
    /** Adds [count] waits of [wait]. */
    public fun add(wait: Duration, count: Int = 1): WaitCounts {
        val bucket = bucketOf(wait)
        return WaitCounts(counts.put(bucket, (counts[bucket] ?: 0) + count), total + count)
    }

    /** Returns the upper bound of the bucket that holds quantile [share]; zero without waits. */
    public fun quantile(share: Double): Duration {
        require(share in 0.0..1.0) { "a quantile must be in 0..1, got $share" }
        if (total == 0L) return Duration.ZERO
        val rank = ceil(share * total).toLong().coerceAtLeast(1)
        val ordered = counts.entries.sortedBy { it.key }
        val sums = ordered.runningFold(0L) { sum, (_, count) -> sum + count }.drop(1)
        return boundOf(ordered[sums.indexOfFirst { it >= rank }].key)
    }

    private companion object {
        const val PER_DECADE = 20
        const val LARGEST_BUCKET = 200

        fun bucketOf(wait: Duration): Int {
            val micros = wait.inWholeMicroseconds.coerceAtLeast(1).toDouble()
            return ceil(log10(micros) * PER_DECADE).toInt().coerceAtMost(LARGEST_BUCKET)
        }

        fun boundOf(bucket: Int): Duration =
            10.0.pow(bucket.toDouble() / PER_DECADE).toLong().microseconds
    }
}
