package org.bilberrycart.pipeline

import java.util.concurrent.locks.Condition
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlin.time.Duration
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlinx.collections.immutable.persistentListOf

/**
 * A bounded first-in first-out queue between two duties.
 *
 * A consumer of an empty ring and a producer that calls [put] on a full ring wait on a condition,
 * so no thread spins. [offer] refuses an item instead of waiting. No item is lost: every item is
 * accepted or refused, and [stats] counts both.
 *
 * Only [put] may use the [reserve]. Rings that are part of a cycle of duties have a reserve for at
 * least as many control events as can be outstanding, so that a duty's [put] never waits behind
 * bulk events and a cycle of full rings cannot deadlock.
 *
 * @property name the name of the ring in metrics and error messages.
 * @property capacity the maximum number of items held.
 * @property reserve the part of [capacity] that [offer] and [putBulk] leave free.
 */
public class Ring<T : Any>(
    public val name: String,
    public val capacity: Int,
    public val reserve: Int = 0,
) {
    private val lock = ReentrantLock()
    private val notEmpty: Condition = lock.newCondition()
    private val notFull: Condition = lock.newCondition()
    private val slots = arrayOfNulls<Any>(capacity)
    private var head = 0
    private var size = 0
    private var closed = false
    private var accepted = 0L
    private var refused = 0L
    private var taken = 0L
    private var waits = 0L
    private var longestWait = Duration.ZERO

    /** When each wait for room that still goes on began, the earliest first. */
    private var pendingWaits = persistentListOf<TimeMark>()

    init {
        require(capacity > 0) { "capacity of ring $name must be positive, got $capacity" }
        require(reserve in 0 until capacity) {
            "reserve of ring $name must be in 0 until $capacity, got $reserve"
        }
    }

    /** Adds [item] if there is room; if full or closed, counts a refusal and returns false. */
    public fun offer(item: T): Boolean = lock.withLock {
        if (closed || size >= capacity - reserve) {
            refused++
            false
        } else {
            add(item)
        }
    }

    /**
     * Adds [item], waiting while the ring is full; returns false and counts a refusal if the ring
     * is or becomes closed.
     */
    public fun put(item: T): Boolean = putBelow(capacity, item)

    /** Adds [item] like [put], but waits while no more than the [reserve] is free. */
    public fun putBulk(item: T): Boolean = putBelow(capacity - reserve, item)

    /**
     * Takes all items held, at most [limit], waiting up to [wait] for the first one.
     *
     * Returns an empty list if no item arrives in that time or if the ring is closed and empty.
     */
    public fun takeAll(limit: Int = capacity, wait: Duration = Duration.INFINITE): List<T> =
        lock.withLock {
            awaitItem(wait)
            val count = minOf(size, limit)
            val items = List(count) { removeFirst() }
            if (count > 0) notFull.signalAll()
            items
        }

    /** Closes the ring, which refuses later items and wakes all waiters; held items remain. */
    public fun close(): Unit = lock.withLock {
        closed = true
        notEmpty.signalAll()
        notFull.signalAll()
    }

    /** Returns whether the ring is closed and empty. */
    public fun isDone(): Boolean = lock.withLock { closed && size == 0 }

    /** Returns a consistent snapshot of the counters. */
    public fun stats(): RingStats = lock.withLock {
        RingStats(
            name,
            capacity,
            accepted = accepted,
            taken = taken,
            refused = refused,
            held = size,
            waits = waits,
            longestWait = maxOf(longestWait, pendingWaits.firstOrNull().elapsed()),
        )
    }

    private fun putBelow(limit: Int, item: T): Boolean = lock.withLock {
        if (!closed && size >= limit) awaitRoom(limit)
        if (closed) {
            refused++
            false
        } else {
            add(item)
        }
    }

    private fun awaitRoom(limit: Int) {
        val start = TimeSource.Monotonic.markNow()
        waits++
        pendingWaits = pendingWaits.add(start)
        try {
            while (!closed && size >= limit) notFull.await()
        } finally {
            pendingWaits = pendingWaits.remove(start)
            longestWait = maxOf(longestWait, start.elapsed())
        }
    }

    private fun TimeMark?.elapsed(): Duration = this?.elapsedNow() ?: Duration.ZERO

    private fun add(item: T): Boolean {
        slots[(head + size) % capacity] = item
        size++
        accepted++
        notEmpty.signal()
        return true
    }

    @Suppress("UNCHECKED_CAST")
    private fun removeFirst(): T {
        val item = slots[head] as T
        slots[head] = null
        head = (head + 1) % capacity
        size--
        taken++
        return item
    }

    private fun awaitItem(wait: Duration) {
        var left = wait.inWholeNanoseconds
        while (size == 0 && !closed && left > 0) left = notEmpty.awaitNanos(left)
    }
}
