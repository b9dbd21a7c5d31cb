package org.bilberrycart.dispatch

import java.io.ByteArrayOutputStream

/**
 * Splits the bytes of a `text/event-stream` into events.
 *
 * Only the fields `event`, `data` and `id` are kept. One event holds at most [maxEventBytes].
 */
public class EventStreamReader(private val maxEventBytes: Int = MAX_EVENT_BYTES) {
    private val line = ByteArrayOutputStream()
    private var event = ""
    private var data = ""
    private var id = ""

    /** One event of the stream; [event] is empty for the default type, [id] if it has none. */
    public data class StreamEvent(val event: String, val data: String, val id: String = "")

    /**
     * Takes [bytes] and calls [onEvent] for each event that they complete.
     *
     * @throws IllegalArgumentException if an event is longer than the limit.
     */
    public fun feed(bytes: ByteArray, onEvent: (StreamEvent) -> Unit) {
        for (byte in bytes) {
            if (byte == NEWLINE) endLine(onEvent) else append(byte)
        }
    }

    private fun append(byte: Byte) {
        require(line.size() + data.length < maxEventBytes) {
            "an event of the stream is longer than $maxEventBytes bytes"
        }
        line.write(byte.toInt())
    }

    private fun endLine(onEvent: (StreamEvent) -> Unit) {
        val text = line.toString(Charsets.UTF_8).removeSuffix("\r")
        line.reset()
        when {
            text.isEmpty() -> endEvent(onEvent)
            text.startsWith("event:") -> event = text.substringAfter(':').trim()
            text.startsWith("id:") -> id = text.substringAfter(':').trim()
            text.startsWith("data:") -> appendData(text.substringAfter(':').removePrefix(" "))
        }
    }

    private fun appendData(text: String) {
        data = if (data.isEmpty()) text else data + "\n" + text
    }

    private fun endEvent(onEvent: (StreamEvent) -> Unit) {
        if (data.isNotEmpty()) onEvent(StreamEvent(event, data, id))
        event = ""
        id = ""
        data = ""
    }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
        const val MAX_EVENT_BYTES = 64 * 1024
    }
}
