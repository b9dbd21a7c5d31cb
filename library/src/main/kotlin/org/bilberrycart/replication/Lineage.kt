package org.bilberrycart.replication

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.bilberrycart.model.EventId

/**
 * Which epochs a generation went through, and where each began.
 *
 * @property starts by rising epoch.
 */
@Serializable
@CborArray
public data class Lineage(val starts: List<EpochStart>) {
    /** Returns this lineage with [epoch] going on at [firstIndex]. */
    public fun continued(epoch: Int, firstIndex: Int): Lineage =
        Lineage(starts + EpochStart(epoch, firstIndex))

    /**
     * Returns whether a caller at [position] has a prefix of a generation of [size] tokens.
     *
     * What an epoch released lies on this generation up to the index at which the next epoch began.
     */
    public fun contains(position: EventId, size: Int): Boolean {
        val place = starts.indexOfFirst { it.epoch == position.epoch }
        if (place < 0) return false
        val end = starts.getOrNull(place + 1)?.firstIndex ?: size
        return position.index < minOf(end, size)
    }

    public companion object {
        /** Returns the lineage of a generation that starts in [epoch]. */
        public fun startingIn(epoch: Int): Lineage = Lineage(listOf(EpochStart(epoch, 0)))
    }
}
