package org.bilberrycart.pipeline

import java.util.concurrent.atomic.AtomicReference
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf

/** An immutable map behind a reference, which several threads replace. */
public class SharedMap<K, V : Any> {
    private val reference = AtomicReference<PersistentMap<K, V>>(persistentHashMapOf())

    /** The map as it is now. */
    public val current: PersistentMap<K, V>
        get() = reference.get()

    /** Returns the value of [key], or null if there is none. */
    public operator fun get(key: K): V? = current[key]

    /** Sets the value of [key] to [value]. */
    public operator fun set(key: K, value: V) {
        reference.updateAndGet { it.put(key, value) }
    }

    /** Removes the value of [key] and returns it; of several threads that do, one gets it. */
    public fun remove(key: K): V? = reference.getAndUpdate { it.remove(key) }[key]
}
