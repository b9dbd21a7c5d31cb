package org.bilberrycart.pipeline

import kotlin.time.Duration
import org.jetbrains.lincheck.datastructures.Operation

private const val CAPACITY = 2

/** The operations of a ring, whose concurrent histories are checked against [RingModel]. */
abstract class RingHistory {
    abstract fun offer(item: Int): Boolean

    abstract fun take(): Int?

    abstract fun close()
}

/** The sequential specification of a ring. */
class RingModel : RingHistory() {
    private var items = listOf<Int>()
    private var closed = false

    override fun offer(item: Int): Boolean {
        val hasRoom = !closed && items.size < CAPACITY
        if (hasRoom) items = items + item
        return hasRoom
    }

    override fun take(): Int? = items.firstOrNull().also { items = items.drop(1) }

    override fun close() {
        closed = true
    }
}

/** The operations of the real [Ring]. */
class RealRingHistory : RingHistory() {
    private val ring = Ring<Int>("test", CAPACITY)

    @Operation
    override fun offer(item: Int): Boolean = ring.offer(item)

    @Operation
    override fun take(): Int? = ring.takeAll(limit = 1, wait = Duration.ZERO).firstOrNull()

    @Operation
    override fun close() = ring.close()
}

/** The operations of a [FaultyRing] with [fault]. */
abstract class FaultyRingHistory(fault: RingFault) : RingHistory() {
    private val ring = FaultyRing(CAPACITY, fault)

    @Operation
    override fun offer(item: Int): Boolean = ring.offer(item)

    @Operation
    override fun take(): Int? = ring.take(wait = false)

    @Operation
    override fun close() = ring.close()
}

class UnlockedRingHistory : FaultyRingHistory(RingFault.NO_LOCK)

class OverwritingRingHistory : FaultyRingHistory(RingFault.OVERWRITES)

class ReorderingRingHistory : FaultyRingHistory(RingFault.LAST_IN_FIRST_OUT)
