package org.bilberrycart.routing

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import org.bilberrycart.model.Placement
import org.bilberrycart.model.ResultCode

/**
 * A placement that waits for a slot.
 *
 * @property until when it stops waiting.
 * @property code its result if it stops waiting.
 */
public data class Waiting(val placement: Placement, val until: Duration, val code: ResultCode) :
    Comparable<Waiting> {
    override fun compareTo(other: Waiting): Int = ORDER.compare(this, other)

    private companion object {
        val ORDER: Comparator<Waiting> = compareBy(
            { !it.placement.isResume },
            { it.placement.request.requestClass.priority },
            { it.placement.request.deadline },
            { it.placement.request.arrivedAt },
        )
    }
}

/** Whether the placement follows an earlier attempt of its request. */
internal val Placement.isResume: Boolean
    get() = prefix.isNotEmpty() || attempt.number > 1 || attempt.epoch > 1

/** Returns this ordered list with [item] after all items that are not greater. */
internal fun PersistentList<Waiting>.insert(item: Waiting): PersistentList<Waiting> {
    val found = binarySearch(item)
    val index = if (found < 0) -found - 1 else endOfEqual(found, item)
    return add(index, item)
}

private fun List<Waiting>.endOfEqual(found: Int, item: Waiting): Int {
    var index = found
    while (index < size && this[index].compareTo(item) == 0) index++
    return index
}
