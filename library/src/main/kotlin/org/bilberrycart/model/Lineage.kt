package org.bilberrycart.model

import kotlinx.serialization.Serializable

/**
 * The epochs of a generation, each with the index of the first token that it released.
 *
 * A position (epoch, index) is on the lineage if that epoch released the token at that index, that
 * is, if the following epoch, if any, starts at a later index.
 */
@Serializable
public data class Lineage(val spans: List<Span>) {
    /** States that [epoch] starts with the token at [firstIndex]. */
    @Serializable
    public data class Span(val epoch: Int, val firstIndex: Int)

    /** The latest epoch. */
    public val epoch: Int
        get() = spans.last().epoch

    /**
     * Returns a lineage in which [epoch] follows and starts at [firstIndex].
     *
     * @throws IllegalArgumentException if [epoch] is not greater than the latest epoch, or
     *   [firstIndex] is less than its first index.
     */
    public fun begin(epoch: Int, firstIndex: Int): Lineage {
        val last = spans.last()
        require(epoch > last.epoch) { "epoch $epoch does not follow ${last.epoch}" }
        require(firstIndex >= last.firstIndex) {
            "epoch $epoch starts at $firstIndex, before epoch ${last.epoch} at ${last.firstIndex}"
        }
        return Lineage(spans + Span(epoch, firstIndex))
    }

    /**
     * Returns whether a caller may have received the token at [index] in [epoch].
     *
     * A negative [index] means that the caller has received no token yet.
     */
    public fun contains(epoch: Int, index: Int): Boolean {
        val position = spans.indexOfFirst { it.epoch == epoch }
        if (position < 0) return false
        if (index < 0) return true
        val next = spans.getOrNull(position + 1)
        return index >= spans[position].firstIndex && (next == null || index < next.firstIndex)
    }

    /** Returns the epoch that released the token at [index]. */
    public fun epochOf(index: Int): Int = spans.last { it.firstIndex <= maxOf(index, 0) }.epoch

    public companion object {
        /** Returns the lineage of a new generation that starts in [epoch]. */
        public fun start(epoch: Int = 1): Lineage = Lineage(listOf(Span(epoch, firstIndex = 0)))
    }
}
