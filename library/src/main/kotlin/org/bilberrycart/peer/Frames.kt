package org.bilberrycart.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt

/** Bytes of the length that goes before each frame. */
internal const val FRAME_HEADER_BYTES = 4

/** Thrown when a frame is larger than its bound. */
internal class FrameTooLarge(size: Int, limit: Int) :
    Exception("a frame of $size bytes is over the limit of $limit")

/** Reads one frame of at most [limit] bytes; an empty one is a heartbeat. */
internal suspend fun ByteReadChannel.readFrame(limit: Int): ByteArray {
    val size = readInt()
    if (size !in 0..limit) throw FrameTooLarge(size, limit)
    return if (size == 0) EMPTY_FRAME else readByteArray(size)
}

/** Writes [bytes] as one frame and flushes it. */
internal suspend fun ByteWriteChannel.writeFrame(bytes: ByteArray) {
    appendFrame(bytes)
    flush()
}

/** Writes [bytes] as one frame; the caller flushes. */
internal suspend fun ByteWriteChannel.appendFrame(bytes: ByteArray) {
    writeInt(bytes.size)
    writeFully(bytes)
}

/** The frame that says only that its sender lives. */
internal val EMPTY_FRAME = ByteArray(0)
