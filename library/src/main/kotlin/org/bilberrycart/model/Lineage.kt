package org.bilberrycart.model

import kotlinx.serialization.Serializable

/**
 * The epochs of one generation and the index of the first token of each.
 *
 * A position (epoch, index) lies on the lineage if that epoch released that index: its successor
 * epoch, if any, starts after it.
 */
@Serializable
public data class Lineage(val spans: List<Span>) {
    /** The epoch [epoch] starts with the token at [firstIndex]. */
    @Serializable
    public data class Span(val epoch: Int, val firstIndex: Int)

    /** The newest epoch. */
    public val epoch: Int
        get() = spans.last().epoch

    /** Starts [epoch] at [firstIndex]; epochs only rise and their tokens only follow. */
    public fun begin(epoch: Int, firstIndex: Int): Lineage {
        val last = spans.last()
        require(epoch > last.epoch) { "epoch $epoch does not follow ${last.epoch}" }
        require(firstIndex >= last.firstIndex) {
            "epoch $epoch starts at $firstIndex, before epoch ${last.epoch} at ${last.firstIndex}"
        }
        return Lineage(spans + Span(epoch, firstIndex))
    }

    /** Whether a caller may have got the token at [index] in [epoch]; index -1 means none yet. */
    public fun contains(epoch: Int, index: Int): Boolean {
        val position = spans.indexOfFirst { it.epoch == epoch }
        if (position < 0) return false
        if (index < 0) return true
        val next = spans.getOrNull(position + 1)
        return index >= spans[position].firstIndex && (next == null || index < next.firstIndex)
    }

    /** The epoch that released the token at [index]. */
    public fun epochOf(index: Int): Int = spans.last { it.firstIndex <= maxOf(index, 0) }.epoch

    public companion object {
        /** The lineage of a new generation. */
        public fun start(epoch: Int = 1): Lineage = Lineage(listOf(Span(epoch, firstIndex = 0)))
    }
}
