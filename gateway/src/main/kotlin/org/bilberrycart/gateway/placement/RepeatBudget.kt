package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/**
 * How often calls of one service were sent, by second, within the window of the shared budget.
 *
 * @property window the span over which the budget counts.
 * @property ratio how many repeats a first sending allows.
 */
public data class RepeatBudget(
    val window: Duration,
    val ratio: Double,
    private val seconds: PersistentList<Second> = persistentListOf(),
) {
    /** The sendings of one second. */
    public data class Second(val number: Long, val firsts: Int, val repeats: Int)

    /** Whether one more repeat is within the budget at [now], with [slack] repeats beyond it. */
    public fun allows(now: Duration, slack: Double): Boolean {
        val recent = seconds.filter { it.number >= now.inWholeSeconds - window.inWholeSeconds }
        return recent.sumOf { it.repeats } + 1 <= ratio * recent.sumOf { it.firsts } + slack
    }

    /** Returns the budget after so many sendings at [now]; negative ones are taken back. */
    public fun counted(now: Duration, firsts: Int = 0, repeats: Int = 0): RepeatBudget {
        val number = now.inWholeSeconds
        val current = seconds.lastOrNull()?.takeIf { it.number == number } ?: Second(number, 0, 0)
        val counted = current.copy(
            firsts = current.firsts + firsts,
            repeats = current.repeats + repeats,
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
