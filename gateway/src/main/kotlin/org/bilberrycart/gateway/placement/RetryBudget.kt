package org.bilberrycart.gateway.placement

import kotlin.math.floor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.RetryUse

/**
 * The retry budget of one service, which all nodes share: counts this node's dispatches over a
 * sliding window of time slots.
 *
 * Each node has a fixed share of the budget that needs no news of the others. Beyond it, a node may
 * use what the reports of all nodes show to be left, as long as each node could take an equal part
 * of that before the next reports arrive. A node that is short of processor time knows too little
 * of the others for that and keeps to its share. A node that has just started leaves most of the
 * slack to the retries that were made before.
 *
 * @property window the period over which dispatches are counted.
 * @property ratio how many retries each first dispatch allows, over all nodes.
 */
public data class RetryBudget(
    val window: Duration,
    val ratio: Double,
    private val slots: PersistentList<Slot> = persistentListOf(),
) {
    /** The dispatches in the slot with [number], counted in units of [SLOT]. */
    public data class Slot(val number: Long, val use: RetryUse)

    /** Returns this node's dispatches in the window that ends at [now]. */
    public fun use(now: Duration): RetryUse = useSince(now - window)

    /**
     * Whether the budget allows one more retry at [now], with [slack] retries beyond the ratio for
     * all nodes together, of which the others have used [fleet].
     */
    public fun allows(now: Duration, fleet: FleetRetries, slack: Double): Boolean {
        val own = use(now)
        val total = own + fleet.peers
        val limit = (ratio * total.firstDispatches + slack) * TOTAL_PART
        val mayShare = fleet.isCurrent && isInFleetShare(now, total, fleet, slack)
        return total.retries + 1 <= limit && (mayShare || isInOwnShare(own, fleet, slack))
    }

    private fun isInOwnShare(own: RetryUse, fleet: FleetRetries, slack: Double): Boolean =
        own.retries + 1 <= ratio * OWN_RATIO_PART * own.firstDispatches +
            slack * OWN_SLACK_PART / fleet.nodes

    private fun isInFleetShare(
        now: Duration,
        total: RetryUse,
        fleet: FleetRetries,
        slack: Double,
    ): Boolean {
        val sharedSlack = slack * fleet.sharedSlackPart
        val limit = (ratio * total.firstDispatches + sharedSlack) * FLEET_PART * fleet.heardShare
        val left = limit - total.retries
        return useSince(now - fleet.reportDelay).retries + 1 <= left / fleet.nodes
    }

    private fun useSince(time: Duration): RetryUse =
        slots.filter { it.number >= slotOf(time) }.fold(RetryUse()) { sum, slot -> sum + slot.use }

    private fun slotOf(time: Duration): Long = floor(time / SLOT).toLong()

    /** Returns the budget with dispatches added at [now]; negative counts take them back. */
    public fun withDispatches(
        now: Duration,
        firstDispatches: Int = 0,
        retries: Int = 0,
    ): RetryBudget {
        val number = slotOf(now)
        val current = slots.lastOrNull()?.takeIf { it.number == number }?.use ?: RetryUse()
        val counted = Slot(number, current + RetryUse(firstDispatches, retries))
        val kept = slots.filter { it.number != number && it.number >= slotOf(now - window) }
        return copy(slots = (kept + counted).toPersistentList())
    }

    /** Returns the budget without the first dispatches after [time]. */
    internal fun withoutFirstDispatchesAfter(time: Duration): RetryBudget {
        val last = slotOf(time)
        val changed = slots.map { slot ->
            if (slot.number > last) slot.copy(use = slot.use.copy(firstDispatches = 0)) else slot
        }
        return copy(slots = changed.toPersistentList())
    }

    /**
     * Returns the budget without one of the retries that were counted at [countedAt]; nothing
     * changes once they have left the window.
     */
    public fun withoutRetry(countedAt: Duration): RetryBudget {
        val number = slotOf(countedAt)
        val changed = slots.map { slot ->
            if (slot.number == number) slot.copy(use = slot.use + RetryUse(retries = -1)) else slot
        }
        return copy(slots = changed.toPersistentList())
    }

    private companion object {
        val SLOT = 250.milliseconds

        /**
         * The parts of the budget. What is left over allows for late reports, and for nodes that
         * have all started anew and know nothing of the retries before.
         */
        const val TOTAL_PART = 0.7
        const val FLEET_PART = 0.65
        const val OWN_RATIO_PART = 0.75

        /** Allows for as many unknown nodes as known ones: nodes may be replaced unnoticed. */
        const val OWN_SLACK_PART = 0.5
    }
}
