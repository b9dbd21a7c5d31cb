package org.bilberrycart.bench.capacity

import kotlin.time.Duration
import kotlin.time.measureTime

private const val MAX_RETAINED_PARTS = 50_000
private const val MIN_COPIES = 4
private const val MAX_COPIES = 2_000
private const val GC_RUNS = 3
private const val GC_PAUSE_MILLIS = 50L

/**
 * Returns how many copies of a value with [parts] elements to retain when measuring its size.
 *
 * All copies have about [MAX_RETAINED_PARTS] elements together, but there are at least [MIN_COPIES]
 * and at most [MAX_COPIES] of them.
 */
internal fun copiesOf(parts: Int): Int =
    (MAX_RETAINED_PARTS / (parts + 1)).coerceIn(MIN_COPIES, MAX_COPIES)

/** Returns the heap bytes that a value created by [make] retains, averaged over [copies] values. */
internal fun <T : Any> retainedBytes(copies: Int, make: () -> T): Double {
    make()
    val before = usedBytes()
    val retained = List(copies) { make() }
    val after = usedBytes()
    check(retained.size == copies) { "retained ${retained.size} of $copies values" }
    return (after - before).toDouble() / copies
}

/** Returns the median time of [runs] calls of [block], after as many calls to warm up. */
internal fun medianTime(runs: Int, block: () -> Unit): Duration {
    repeat(runs) { block() }
    return List(runs) { measureTime(block) }.sorted()[runs / 2]
}

/** Returns the bytes of heap in use, after garbage collection. */
internal fun usedBytes(): Long {
    repeat(GC_RUNS) {
        System.gc()
        Thread.sleep(GC_PAUSE_MILLIS)
    }
    return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}
