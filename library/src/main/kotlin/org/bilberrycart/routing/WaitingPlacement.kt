package org.bilberrycart.routing

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import org.bilberrycart.model.Placement
import org.bilberrycart.model.ResultCode

/**
 * A placement that waits for a slot, ordered by urgency.
 *
 * Resumed work is the most urgent; then the priority of the request class, the deadline and the
 * time of arrival decide.
 *
 * @property expiresAt when it is given up.
 * @property expiryCode the result code with which it is given up.
 */
public data class WaitingPlacement(
    val placement: Placement,
    val expiresAt: Duration,
    val expiryCode: ResultCode,
) : Comparable<WaitingPlacement> {
    override fun compareTo(other: WaitingPlacement): Int = ORDER.compare(this, other)

    private companion object {
        val ORDER: Comparator<WaitingPlacement> = compareBy(
            { !it.placement.isResume },
            { it.placement.request.requestClass.priority },
            { it.placement.request.deadline },
            { it.placement.request.arrivedAt },
        )
    }
}

/** Whether an earlier attempt of the same request was made, by this node or another one. */
internal val Placement.isResume: Boolean
    get() = prefix.isNotEmpty() || attempt.number > 1 || attempt.epoch > 1

/** Returns this sorted list with [item] inserted after all items that are not greater. */
internal fun PersistentList<WaitingPlacement>.insert(
    item: WaitingPlacement,
): PersistentList<WaitingPlacement> {
    val found = binarySearch(item)
    val index = if (found < 0) -found - 1 else endOfEqual(found, item)
    return add(index, item)
}

private fun List<WaitingPlacement>.endOfEqual(found: Int, item: WaitingPlacement): Int {
    var index = found
    while (index < size && this[index].compareTo(item) == 0) index++
    return index
}
