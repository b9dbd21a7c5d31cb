package org.bilberrycart.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt

/** The size in bytes of the length prefix of each frame. */
internal const val FRAME_HEADER_BYTES = 4

/** Thrown when the length of a frame is negative or over its limit. */
internal class FrameTooLarge(size: Int, limit: Int) :
    Exception("frame of $size bytes is outside the limit of 0..$limit bytes")

/** Reads one frame of at most [limit] bytes; an empty frame is a heartbeat. */
internal suspend fun ByteReadChannel.readFrame(limit: Int): ByteArray {
    val size = readInt()
    if (size !in 0..limit) throw FrameTooLarge(size, limit)
    return if (size == 0) HEARTBEAT_FRAME else readByteArray(size)
}

/** Writes [bytes] as one frame and flushes it. */
internal suspend fun ByteWriteChannel.writeFrame(bytes: ByteArray) {
    appendFrame(bytes)
    flush()
}

/** Writes [bytes] as one frame without flushing it. */
internal suspend fun ByteWriteChannel.appendFrame(bytes: ByteArray) {
    writeInt(bytes.size)
    writeFully(bytes)
}

/** An empty frame, which only shows that its sender is alive. */
internal val HEARTBEAT_FRAME = ByteArray(0)
