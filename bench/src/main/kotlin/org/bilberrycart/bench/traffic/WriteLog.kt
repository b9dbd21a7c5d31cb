package org.bilberrycart.bench.traffic

import java.util.concurrent.atomic.AtomicLongArray
import java.util.concurrent.atomic.AtomicReference
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.standins.engine.TokenObserver

/** The times at which engines of this process wrote each token, by prompt and index. */
class WriteLog {
    /** The times at which the tokens of one generation were written. */
    class TokenWrites(tokens: Int) {
        private val nanos = AtomicLongArray(tokens + 1)

        /** The number of the engine that wrote last; -1 for none. */
        @Volatile var engine: Int = -1
            private set

        /** Returns the `System.nanoTime` of the write of the token [index], 0 for none. */
        fun writtenAtNanos(index: Int): Long = if (index < nanos.length()) nanos[index] else 0

        internal fun write(engine: Int, index: Int, now: Long) {
            if (index < nanos.length()) nanos[index] = now
            this.engine = engine
        }
    }

    private val generations = AtomicReference<PersistentMap<String, TokenWrites>>(persistentMapOf())

    /** Starts recording the writes of [arrival]. */
    fun open(arrival: Arrival): TokenWrites = TokenWrites(arrival.maxTokens).also { writes ->
        generations.updateAndGet { it.put(arrival.prompt, writes) }
    }

    /** Stops recording the writes of [arrival] and drops its times. */
    fun close(arrival: Arrival) {
        generations.updateAndGet { it.remove(arrival.prompt) }
    }

    /** Returns an observer that records the tokens that the engine with number [engine] writes. */
    fun observer(engine: Int): TokenObserver = TokenObserver { source, from, until ->
        val now = System.nanoTime()
        val writes = generations.get()[source.prompt]
        if (writes != null) for (index in from until until) writes.write(engine, index, now)
    }
}
