package org.bilberrycart.gateway.node

import java.util.concurrent.atomic.AtomicInteger

/** Makes the ticks of an idle duty rare: one in [count] is due. */
internal class IdlePeriods(private val count: Int) {
    /** Returns a condition that holds whenever [isBusy] does, and else each [count]th time. */
    fun orWhen(isBusy: () -> Boolean): () -> Boolean {
        val skipped = AtomicInteger()
        return { isBusy() || skipped.incrementAndGet() % count == 0 }
    }
}
