package org.bilberrycart.standins.engine

import java.io.IOException
import java.io.InputStream
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.standins.http.standInJson

/**
 * The server-sent events of one response, made from the replies in [ring] as they arrive.
 *
 * @param awaitConnection waits while the connection is held; called before bytes are returned.
 * @param onClose called once when the response ends.
 */
internal class StreamBody(
    private val ring: Ring<EngineReply>,
    private val source: TokenSource,
    private val observer: TokenObserver,
    private val awaitConnection: () -> Unit,
    private val onClose: () -> Unit,
) : InputStream() {
    private var pending = ": accepted\n\n".toByteArray()
    private var position = 0
    private var unobserved: List<EngineReply> = emptyList()

    override fun read(): Int {
        val one = ByteArray(1)
        return if (read(one, 0, 1) < 0) -1 else one[0].toInt() and BYTE_MASK
    }

    override fun read(target: ByteArray, offset: Int, length: Int): Int {
        if (position == pending.size && !refill()) return -1
        awaitConnection()
        observe()
        val count = minOf(length, pending.size - position)
        pending.copyInto(target, offset, position, position + count)
        position += count
        return count
    }

    override fun close() = onClose()

    private fun refill(): Boolean {
        unobserved = ring.takeAll()
        if (unobserved.isEmpty()) return false
        pending = unobserved.joinToString("", transform = ::encode).toByteArray()
        position = 0
        return pending.isNotEmpty() || refill()
    }

    private fun observe() {
        unobserved.forEach { reply ->
            if (reply is EngineReply.Tokens) observer.written(source, reply.from, reply.until)
        }
        unobserved = emptyList()
    }

    private fun encode(reply: EngineReply): String = when (reply) {
        is EngineReply.Accepted, EngineReply.Done -> ""
        is EngineReply.Tokens -> (reply.from until reply.until).joinToString(
            "",
            transform = ::event,
        )
        is EngineReply.Finished ->
            "event: finish\ndata: " +
                standInJson.encodeToString(FinishBody(reply.reason, reply.tokens)) + "\n\n"
        is EngineReply.Refused -> throw IOException(reply.error)
    }

    private fun event(index: Int): String {
        val body = standInJson.encodeToString(TokenBody(index, source.token(index)))
        return "id: $index\ndata: $body\n\n"
    }

    private companion object {
        const val BYTE_MASK = 0xff
    }
}
