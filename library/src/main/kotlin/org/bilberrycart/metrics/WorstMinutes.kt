package org.bilberrycart.metrics

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.model.RequestClass

/**
 * The waits of the running minute and the 95th percentiles of those of the last hour.
 *
 * @property minute the counts of the running minute.
 * @property past the 95th percentiles of the minutes before, the newest last.
 */
public data class WorstMinutes(
    val minute: PersistentMap<Key, WaitCounts> = persistentMapOf(),
    val past: PersistentMap<Key, PersistentList<Duration>> = persistentMapOf(),
) {
    /** What the minutes are kept for. */
    public data class Key(val requestClass: RequestClass, val measure: Measure)

    /** Adds [count] waits of [wait] to the running minute. */
    public fun add(key: Key, wait: Duration, count: Int): WorstMinutes =
        copy(minute = minute.put(key, (minute[key] ?: WaitCounts()).add(wait, count)))

    /** Ends the running minute; one without waits counts as zero. */
    public fun endMinute(): WorstMinutes = WorstMinutes(
        past = (minute.keys + past.keys).fold(past) { all, key ->
            val next = (minute[key] ?: WaitCounts()).quantile(SHARE)
            val earlier = all[key] ?: persistentListOf()
            all.put(key, (earlier + next).takeLast(MINUTES_KEPT).toPersistentList())
        },
    )

    /** Returns the worst of the minutes kept. */
    public fun worst(): Map<Key, Duration> = past.mapValues { it.value.max() }

    private companion object {
        const val SHARE = 0.95
        const val MINUTES_KEPT = 60
    }
}
