package org.bilberrycart.gateway.discovery

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.withActions

/**
 * Keeps rows published that vanish soon after the store recovered, and ends that in time.
 *
 * Rows that are removed for good are remembered, see [RemovedRows].
 */
internal object RowRetention {
    /** Upstreams that are alive register again within this time after the store recovers. */
    private val RETENTION = 2.2.seconds

    /** Returns [after] with the rows of [before] that it lacks, if they may still return. */
    fun retainVanished(before: TableFeed, after: TableFeed, now: Duration): TableFeed {
        val recoveredAt = after.recoveredAt
        val isRetaining = recoveredAt != null && now - recoveredAt < RETENTION
        val vanished = before.rows
            .filterKeys { it !in after.rows && it !in before.removed.withheldUntil }
        val retainedRows = when {
            isRetaining -> vanished.mapValues { RetainedRow(it.value, recoveredAt!! + RETENTION) }
            else -> emptyMap()
        }
        val kept = (before.retainedRows + retainedRows).filterKeys { it !in after.rows }
        val gone = vanished.filterKeys { it !in kept }.values
        return after.copy(
            retainedRows = kept.toPersistentMap(),
            removed = after.removed.withRemoved(gone, now),
        )
    }

    /** Publishes [table] without the rows whose time is over at [now], if there are any. */
    fun expire(
        state: DiscoveryState,
        table: StoreTable,
        feed: TableFeed,
        now: Duration,
    ): Step<DiscoveryState, DiscoveryAction> {
        val isWithheldTooLong = feed.removed.withheldUntil.any { it.value <= now }
        val isRetainedTooLong = feed.retainedRows.any { it.value.until <= now }
        val isExpired = isWithheldTooLong || isRetainedTooLong
        if (!isExpired || feed.isFailing) return Step(state)
        val (gone, left) = feed.retainedRows.values.partition { it.until <= now }
        val next = feed.copy(
            retainedRows = left.associateBy { it.row.key }.toPersistentMap(),
            removed = feed.removed.withoutExpired(now).withRemoved(gone.map { it.row }, now),
        )
        return state.with(table, next).withActions(FeedSteps.publication(table, next))
    }
}
