package org.bilberrycart.pipeline

import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/** A fault in a copy of [Ring] that a check must detect. */
enum class RingFault {
    /** Items are added without the lock. */
    NO_LOCK,

    /** A full ring overwrites its oldest item. */
    OVERWRITES,

    /** The newest item is taken first. */
    LAST_IN_FIRST_OUT,

    /** Closing wakes only one of the waiting consumers. */
    CLOSE_WAKES_ONE,

    /** Taking an item does not wake a producer that waits for room. */
    TAKE_WAKES_NONE,
}

/** A minimal copy of [Ring] with [fault]. */
class FaultyRing(private val capacity: Int, private val fault: RingFault) {
    private val lock = ReentrantLock()
    private val notEmpty = lock.newCondition()
    private val notFull = lock.newCondition()
    private val slots = arrayOfNulls<Int>(capacity)
    private var head = 0
    private var size = 0
    private var closed = false

    fun offer(item: Int): Boolean = when (fault) {
        RingFault.NO_LOCK -> addIfRoom(item)
        else -> lock.withLock { addIfRoom(item) }
    }

    fun put(item: Int): Boolean = lock.withLock {
        while (!closed && size == capacity) notFull.await()
        addIfRoom(item)
    }

    fun take(wait: Boolean): Int? = lock.withLock {
        while (wait && size == 0 && !closed) notEmpty.await()
        if (size == 0) return null
        if (fault != RingFault.TAKE_WAKES_NONE) notFull.signalAll()
        size--
        if (fault == RingFault.LAST_IN_FIRST_OUT) return slots[(head + size) % capacity]
        slots[head].also { head = (head + 1) % capacity }
    }

    fun close() = lock.withLock {
        closed = true
        notFull.signalAll()
        if (fault == RingFault.CLOSE_WAKES_ONE) notEmpty.signal() else notEmpty.signalAll()
    }

    private fun addIfRoom(item: Int): Boolean {
        if (closed || (size == capacity && fault != RingFault.OVERWRITES)) return false
        slots[(head + size) % capacity] = item
        if (size == capacity) head = (head + 1) % capacity else size++
        notEmpty.signalIfHeld()
        return true
    }

    private fun java.util.concurrent.locks.Condition.signalIfHeld() {
        if (lock.isHeldByCurrentThread) signal()
    }
}
