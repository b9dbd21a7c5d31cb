package org.bilberrycart.standins.pipeline

import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.pipeline.Ring

/**
 * The bounded rings in which HTTP threads wait for the replies of a duty.
 *
 * If a ring is full, [send] closes it, so that a slow reader loses its connection instead of
 * blocking the duty.
 *
 * @property capacity the largest number of replies that one ring holds.
 */
class Mailboxes<R : Any>(private val capacity: Int) {
    private val rings = AtomicReference<PersistentMap<Long, Ring<R>>>(persistentMapOf())
    private val lastId = AtomicLong()

    /** Opens a ring and returns its id. */
    fun open(): Long {
        val id = lastId.incrementAndGet()
        val ring = Ring<R>("mailbox-$id", capacity)
        rings.updateAndGet { it.put(id, ring) }
        return id
    }

    /** Returns the ring with [id], or null after [close]. */
    operator fun get(id: Long): Ring<R>? = rings.get()[id]

    /** Runs [block] with the id of a new ring and the ring, and closes the ring afterwards. */
    inline fun <T> use(block: (Long, Ring<R>) -> T): T {
        val id = open()
        try {
            return block(id, checkNotNull(this[id]) { "no mailbox $id" })
        } finally {
            close(id)
        }
    }

    /** Puts [reply] into the ring with [id], or closes the ring if it is full. */
    fun send(id: Long, reply: R) {
        val ring = this[id] ?: return
        if (!ring.offer(reply)) close(id)
    }

    /** Closes the ring with [id] and wakes its reader. */
    fun close(id: Long) {
        this[id]?.close()
        rings.updateAndGet { it.remove(id) }
    }

    /** Closes all rings and wakes their readers. */
    fun closeAll(): Unit = rings.getAndSet(persistentMapOf()).values.forEach { it.close() }
}
