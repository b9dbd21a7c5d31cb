package org.bilberrycart.http

import java.io.ByteArrayInputStream
import java.io.InputStream
import kotlin.time.Duration
import org.bilberrycart.encode.EventEncoder
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.RequestId

/**
 * The body of a streamed answer; reading blocks until the next parts arrive.
 *
 * If no part arrives within [keepAlive], a comment is sent. If the caller has disconnected, writing
 * the comment fails and the server closes the stream.
 */
internal class EventStream(
    request: RequestId,
    first: List<AnswerPart>,
    private val reader: AnswerReader,
    private val keepAlive: Duration,
) : InputStream() {
    private val encoder = EventEncoder(request)
    private var isComplete = first.any(AnswerPart::isLast)
    private var buffer = encode(first)

    override fun read(): Int = if (fill()) buffer.read() else END_OF_STREAM

    override fun read(target: ByteArray, offset: Int, length: Int): Int =
        if (fill()) buffer.read(target, offset, length) else END_OF_STREAM

    override fun close(): Unit = reader.close()

    private fun fill(): Boolean {
        if (buffer.available() > 0) return true
        if (isComplete) return false
        val parts = reader.take(keepAlive)
        isComplete = parts.any(AnswerPart::isLast)
        buffer = encode(parts)
        return true
    }

    private fun encode(parts: List<AnswerPart>): ByteArrayInputStream {
        val text = if (parts.isEmpty()) {
            EventEncoder.KEEP_ALIVE
        } else {
            parts.joinToString("", transform = encoder::encode)
        }
        return ByteArrayInputStream(text.toByteArray())
    }

    private companion object {
        const val END_OF_STREAM = -1
    }
}
