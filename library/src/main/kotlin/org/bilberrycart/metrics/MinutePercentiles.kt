package org.bilberrycart.metrics

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.model.RequestClass

/**
 * The latencies of the current minute, and the 95th percentiles of each minute of the last hour.
 *
 * @property current the histograms of the current minute.
 * @property past the 95th percentiles of the previous minutes, oldest first.
 */
public data class MinutePercentiles(
    val current: PersistentMap<Key, WaitHistogram> = persistentMapOf(),
    val past: PersistentMap<Key, PersistentList<Duration>> = persistentMapOf(),
) {
    /** The request class and the measure for which percentiles are kept. */
    public data class Key(val requestClass: RequestClass, val measure: Measure)

    /** Adds [count] observations of [wait] to the current minute. */
    public fun add(key: Key, wait: Duration, count: Int): MinutePercentiles =
        copy(current = current.put(key, (current[key] ?: WaitHistogram()).add(wait, count)))

    /** Ends the current minute; the percentile of a minute without observations is zero. */
    public fun endMinute(): MinutePercentiles = MinutePercentiles(
        past = (current.keys + past.keys).fold(past) { all, key ->
            val next = (current[key] ?: WaitHistogram()).quantile(QUANTILE)
            val earlier = all[key] ?: persistentListOf()
            all.put(key, (earlier + next).takeLast(MINUTES_KEPT).toPersistentList())
        },
    )

    /** Returns the highest percentile of the last hour for each key. */
    public fun worst(): Map<Key, Duration> = past.mapValues { it.value.max() }

    private companion object {
        const val QUANTILE = 0.95
        const val MINUTES_KEPT = 60
    }
}
