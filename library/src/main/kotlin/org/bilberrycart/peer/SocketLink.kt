package org.bilberrycart.peer

import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlin.time.TimeMark
import kotlin.time.TimeSource
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.SerializationException
import org.bilberrycart.membership.Member

/** Exchanges messages over one connection until it fails, times out or becomes idle. */
internal class SocketLink(
    override val peer: Member,
    private val socket: Socket,
    private val settings: PeerSettings,
    private val counters: PeerCounters,
) : PeerLink {
    private val queue = Channel<PeerMessage>(settings.outboundCapacity)

    @Volatile private var lastMessageAt: TimeMark = TimeSource.Monotonic.markNow()

    override fun offer(message: PeerMessage): Boolean {
        val result = queue.trySend(message)
        if (result.isFailure && !result.isClosed) {
            counters.overflowed.increment()
            close()
        }
        return result.isSuccess
    }

    override fun close() {
        queue.close()
        socket.close()
    }

    /** Runs until the link closes; [receive] returns false if it cannot accept the message. */
    suspend fun run(
        input: ByteReadChannel,
        output: ByteWriteChannel,
        receive: (PeerMessage) -> Boolean,
    ) {
        try {
            coroutineScope {
                val writer = launch { write(output) }
                read(input, receive)
                writer.cancel()
            }
        } finally {
            close()
        }
    }

    private suspend fun read(input: ByteReadChannel, receive: (PeerMessage) -> Boolean) {
        try {
            var isOpen = true
            while (isOpen) isOpen = handleFrame(readFrame(input), receive)
        } catch (e: TimeoutCancellationException) {
            counters.timedOut.increment()
        } catch (e: FrameTooLarge) {
            counters.malformed.increment()
        } catch (e: SerializationException) {
            counters.malformed.increment()
        }
    }

    private suspend fun readFrame(input: ByteReadChannel): ByteArray {
        val frame = withTimeout(settings.silenceTimeout) { input.readFrame(settings.maxFrameBytes) }
        counters.bytesReceived.add((frame.size + FRAME_HEADER_BYTES).toLong())
        return frame
    }

    private fun handleFrame(frame: ByteArray, receive: (PeerMessage) -> Boolean): Boolean {
        if (frame.isEmpty()) return true
        lastMessageAt = TimeSource.Monotonic.markNow()
        val isAccepted = receive(PeerCodec.decode(frame))
        if (!isAccepted) counters.overflowed.increment()
        return isAccepted
    }

    private suspend fun write(output: ByteWriteChannel) {
        var isOpen = true
        while (isOpen) {
            val message = nextMessage()
            when {
                message != null -> writeAll(output, message)
                queue.isClosedForReceive || lastMessageAt.elapsedNow() > settings.idleTimeout ->
                    isOpen = false
                else -> writeCounted(output, HEARTBEAT_FRAME)
            }
            output.flush()
        }
        close()
    }

    /** Waits for a message; returns null if a heartbeat is due or the link is closed. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun nextMessage(): PeerMessage? = select {
        queue.onReceiveCatching { it.getOrNull() }
        onTimeout(settings.heartbeatInterval) { null }
    }

    private suspend fun writeAll(output: ByteWriteChannel, first: PeerMessage) {
        var next: PeerMessage? = first
        while (next != null) {
            writeCounted(output, PeerCodec.encode(next))
            next = queue.tryReceive().getOrNull()
        }
        lastMessageAt = TimeSource.Monotonic.markNow()
    }

    private suspend fun writeCounted(output: ByteWriteChannel, frame: ByteArray) {
        output.appendFrame(frame)
        counters.framesSent.increment()
        counters.bytesSent.add((frame.size + FRAME_HEADER_BYTES).toLong())
    }
}
