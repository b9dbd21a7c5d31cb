package org.bilberrycart.bench.traffic

import java.util.concurrent.atomic.AtomicLongArray
import java.util.concurrent.atomic.AtomicReference
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.standins.engine.TokenObserver

/** When engines of this process wrote each token, by prompt and index. */
class WriteLog {
    /** The writes of one generation; [engine] wrote last. */
    class Writes(tokens: Int) {
        private val nanos = AtomicLongArray(tokens + 1)

        /** The number of the engine that wrote last. */
        @Volatile var engine: Int = -1
            private set

        /** Returns the `System.nanoTime` of the write of [index]; 0 for none. */
        fun nanosOf(index: Int): Long = if (index < nanos.length()) nanos[index] else 0

        internal fun write(engine: Int, index: Int, now: Long) {
            if (index < nanos.length()) nanos[index] = now
            this.engine = engine
        }
    }

    private val generations = AtomicReference<PersistentMap<String, Writes>>(persistentMapOf())

    /** Starts to log the generation of [arrival]. */
    fun open(arrival: Arrival): Writes = Writes(arrival.maxTokens).also { writes ->
        generations.updateAndGet { it.put(arrival.prompt, writes) }
    }

    /** Forgets the generation of [arrival]. */
    fun close(arrival: Arrival) {
        generations.updateAndGet { it.remove(arrival.prompt) }
    }

    /** Returns the observer for the engine with number [engine]. */
    fun observer(engine: Int): TokenObserver = TokenObserver { source, from, until ->
        val now = System.nanoTime()
        val writes = generations.get()[source.prompt]
        if (writes != null) for (index in from until until) writes.write(engine, index, now)
    }
}
