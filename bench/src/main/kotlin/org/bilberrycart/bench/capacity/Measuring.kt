package org.bilberrycart.bench.capacity

import kotlin.time.Duration
import kotlin.time.measureTime

private const val PARTS_KEPT = 50_000
private const val LEAST_COPIES = 4
private const val MOST_COPIES = 2_000
private const val GC_RUNS = 3
private const val GC_PAUSE_MILLIS = 50L

/** Returns how many copies of a value with [parts] parts are kept to measure their size. */
internal fun copiesOf(parts: Int): Int =
    (PARTS_KEPT / (parts + 1)).coerceIn(LEAST_COPIES, MOST_COPIES)

/** Returns the bytes of heap that [copies] values of [make] keep, divided by [copies]. */
internal fun <T : Any> retainedBytes(copies: Int, make: () -> T): Double {
    make()
    val before = usedBytes()
    val kept = List(copies) { make() }
    val after = usedBytes()
    check(kept.size == copies) { "kept ${kept.size} of $copies values" }
    return (after - before).toDouble() / copies
}

/** Returns the median time of [runs] calls of [block], after as many to warm up. */
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
