package org.bilberrycart.bench.generations

import kotlin.time.Duration

/**
 * An immutable priority queue of items ordered by time, implemented as a leftist heap. Items with
 * the same time leave the queue in the order in which they were added.
 */
class EventQueue<T : Any> private constructor(private val root: Node<T>?, private val count: Long) {
    constructor() : this(root = null, count = 0)

    /** Returns this queue with [item] due at [at]. */
    fun add(at: Duration, item: T): EventQueue<T> =
        EventQueue(merge(root, Node(at, count, item, null, null)), count + 1)

    /** Returns the earliest entry, or null if the queue is empty. */
    fun first(): Due<T>? = root?.let { Due(it.at, it.item) }

    /** Returns this queue without its earliest entry. */
    fun rest(): EventQueue<T> = EventQueue(merge(root?.left, root?.right), count)

    /** An [item] and the time at which it is due. */
    data class Due<T>(val at: Duration, val item: T)

    private class Node<T>(
        val at: Duration,
        val order: Long,
        val item: T,
        val left: Node<T>?,
        val right: Node<T>?,
    ) {
        val rank: Int = 1 + (right?.rank ?: 0)

        fun isBefore(other: Node<T>): Boolean =
            if (at == other.at) order < other.order else at < other.at
    }

    private companion object {
        fun <T> merge(a: Node<T>?, b: Node<T>?): Node<T>? = when {
            a == null -> b
            b == null -> a
            a.isBefore(b) -> withChild(a, merge(a.right, b))
            else -> withChild(b, merge(b.right, a))
        }

        /** Returns [top] with [other] as a child, keeping the higher rank on the left side. */
        fun <T> withChild(top: Node<T>, other: Node<T>?): Node<T> {
            val left = top.left
            return if ((left?.rank ?: 0) >= (other?.rank ?: 0)) {
                Node(top.at, top.order, top.item, left, other)
            } else {
                Node(top.at, top.order, top.item, other, left)
            }
        }
    }
}
