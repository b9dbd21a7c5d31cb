package org.bilberrycart.dispatch

import java.io.ByteArrayOutputStream

/**
 * Parses the bytes of a `text/event-stream` incrementally into events.
 *
 * Only the fields `event`, `data` and `id` are kept; comments and other fields are ignored. The
 * data of an event and the line being read together hold at most [maxEventBytes], so that a stream
 * without event boundaries can't exhaust the memory.
 */
public class EventStreamReader(private val maxEventBytes: Int = MAX_EVENT_BYTES) {
    private val line = ByteArrayOutputStream()
    private var event = ""
    private var data = ""
    private var id = ""

    /**
     * One event of the stream.
     *
     * @property event the type of the event; empty for the default type.
     * @property data the `data` lines of the event, joined by line feeds.
     * @property id the id of the event; empty if it has none.
     */
    public data class StreamEvent(val event: String, val data: String, val id: String = "")

    /**
     * Parses the next [bytes] of the stream and calls [onEvent] for each event that they complete.
     *
     * @throws IllegalArgumentException if an event is longer than [maxEventBytes].
     */
    public fun feed(bytes: ByteArray, onEvent: (StreamEvent) -> Unit) {
        for (byte in bytes) {
            if (byte == NEWLINE) endLine(onEvent) else append(byte)
        }
    }

    private fun append(byte: Byte) {
        require(line.size() + data.length < maxEventBytes) {
            "stream event exceeds the limit of $maxEventBytes bytes"
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
