package org.bilberrycart.metrics

import kotlin.math.ceil
import kotlin.math.log10
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * A histogram of wait times with logarithmic buckets, [BUCKETS_PER_DECADE] for each power of ten.
 *
 * Its size does not depend on the number of wait times.
 *
 * @property counts the number of wait times in each bucket.
 * @property total the number of all wait times.
 */
public data class WaitHistogram(
    val counts: PersistentMap<Int, Long> = persistentMapOf(),
    val total: Long = 0,
) {
    /** Returns this histogram with [count] more observations of [wait]. */
    public fun add(wait: Duration, count: Int = 1): WaitHistogram {
        val bucket = bucketOf(wait)
        return WaitHistogram(counts.put(bucket, (counts[bucket] ?: 0) + count), total + count)
    }

    /** Returns the upper bound of the bucket with the quantile [share]; zero if empty. */
    public fun quantile(share: Double): Duration {
        require(share in 0.0..1.0) { "quantile must be between 0 and 1, but was $share" }
        if (total == 0L) return Duration.ZERO
        val rank = ceil(share * total).toLong().coerceAtLeast(1)
        val ordered = counts.entries.sortedBy { it.key }
        val cumulative = ordered.runningFold(0L) { sum, (_, count) -> sum + count }.drop(1)
        return upperBoundOf(ordered[cumulative.indexOfFirst { it >= rank }].key)
    }

    private companion object {
        const val BUCKETS_PER_DECADE = 20
        const val MAX_BUCKET = 200

        fun bucketOf(wait: Duration): Int {
            val micros = wait.inWholeMicroseconds.coerceAtLeast(1).toDouble()
            return ceil(log10(micros) * BUCKETS_PER_DECADE).toInt().coerceAtMost(MAX_BUCKET)
        }

        fun upperBoundOf(bucket: Int): Duration =
            10.0.pow(bucket.toDouble() / BUCKETS_PER_DECADE).toLong().microseconds
    }
}
