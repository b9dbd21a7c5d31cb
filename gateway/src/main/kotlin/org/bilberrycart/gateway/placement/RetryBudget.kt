package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/**
 * The retry budget of one service: counts dispatches by second over a sliding window.
 *
 * @property window the period over which dispatches are counted.
 * @property ratio how many retries each first dispatch allows.
 */
public data class RetryBudget(
    val window: Duration,
    val ratio: Double,
    private val seconds: PersistentList<Second> = persistentListOf(),
) {
    /** The number of dispatches in one second; [number] is the second. */
    public data class Second(val number: Long, val firstDispatches: Int, val retries: Int)

    /** Whether the budget allows one more retry at [now], with [slack] retries beyond the ratio. */
    public fun allows(now: Duration, slack: Double): Boolean {
        val recent = seconds.filter { it.number >= now.inWholeSeconds - window.inWholeSeconds }
        return recent.sumOf { it.retries } + 1 <=
            ratio * recent.sumOf { it.firstDispatches } + slack
    }

    /** Returns the budget with dispatches added at [now]; negative counts take them back. */
    public fun withDispatches(
        now: Duration,
        firstDispatches: Int = 0,
        retries: Int = 0,
    ): RetryBudget {
        val number = now.inWholeSeconds
        val current = seconds.lastOrNull()?.takeIf { it.number == number } ?: Second(number, 0, 0)
        val counted = current.copy(
            firstDispatches = current.firstDispatches + firstDispatches,
            retries = current.retries + retries,
        )
        val kept = seconds.filter {
            it.number != number && it.number >= number - (window + MARGIN).inWholeSeconds
        }
        return copy(seconds = (kept + counted).toPersistentList())
    }

    private companion object {
        val MARGIN = 1.seconds
    }
}
