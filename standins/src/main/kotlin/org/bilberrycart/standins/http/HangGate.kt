package org.bilberrycart.standins.http

import java.io.IOException
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentSet

/**
 * Holds the HTTP threads of a stand-in while it is paused or their connections are silenced.
 *
 * A connection is identified by its remote port.
 */
class HangGate {
    private val lock = ReentrantLock()
    private val changed = lock.newCondition()
    private var isPaused = false
    private var isClosed = false
    private var silentConnections: PersistentSet<Int> = persistentSetOf()

    /** Makes [awaitOpen] wait on all connections until [resume]. */
    fun pause() = lock.withLock { isPaused = true }

    /** Ends [pause]; silenced connections stay silent. */
    fun resume() = change { isPaused = false }

    /** Makes [awaitOpen] wait on [connections] until [reset] or [close]. */
    fun silence(connections: Collection<Int>) = change {
        silentConnections =
            connections.toPersistentSet()
    }

    /** Ends [pause] and [silence], such as when the stand-in dies. */
    fun reset() = change {
        isPaused = false
        silentConnections = persistentSetOf()
    }

    /** Makes all present and later calls of [awaitOpen] fail. */
    fun close() = change { isClosed = true }

    /** Waits while [connection] is held; throws [IOException] if it was silenced or on [close]. */
    fun awaitOpen(connection: Int) = lock.withLock {
        val wasSilent = connection in silentConnections
        while (!isClosed && (isPaused || connection in silentConnections)) changed.await()
        if (wasSilent || isClosed) throw IOException("connection $connection is gone")
    }

    private fun change(block: () -> Unit) = lock.withLock {
        block()
        changed.signalAll()
    }
}
