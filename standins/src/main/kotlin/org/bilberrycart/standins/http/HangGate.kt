package org.bilberrycart.standins.http

import java.io.IOException
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet

/**
 * Holds the threads of a stand-in that hangs: all of them, or those of silenced connections.
 *
 * Connections are named by the port of the remote end.
 */
class HangGate {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private var isPaused = false
    private var isClosed = false
    private var silent: PersistentSet<Int> = persistentSetOf()

    /** Makes every thread that passes wait until [resume]. */
    fun pause() = lock.withLock { isPaused = true }

    /** Lets paused threads go on; silenced connections stay silent. */
    fun resume() = change { isPaused = false }

    /** Makes the threads of [connections] wait for good. */
    fun silence(connections: Collection<Int>) = change { silent = connections.toPersistentSet() }

    /** Lets everything go, such as when the stand-in dies; waiting threads get an error. */
    fun reset() = change {
        isPaused = false
        silent = persistentSetOf()
    }

    /** Ends all waits with an error. */
    fun close() = change { isClosed = true }

    /** Waits while [connection] hangs; throws [IOException] if its peer is gone by then. */
    fun pass(connection: Int) = lock.withLock {
        val wasSilent = connection in silent
        while (!isClosed && (isPaused || connection in silent)) changed.await()
        if (wasSilent || isClosed) throw IOException("connection $connection is gone")
    }

    private fun change(block: () -> Unit) = lock.withLock {
        block()
        changed.signalAll()
    }
}
