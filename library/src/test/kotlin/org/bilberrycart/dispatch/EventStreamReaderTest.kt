package org.bilberrycart.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import org.bilberrycart.dispatch.EventStreamReader.StreamEvent

private data class StreamCase(val case: String, val text: String, val events: List<StreamEvent>) :
    WithDataTestName {
    override fun dataTestName(): String = case
}

class EventStreamReaderTest :
    FunSpec({
        context(
            "a stream is split into events, and the id of an event is not carried over to the next",
        ) {
            withData(
                StreamCase(
                    "an event with an id",
                    "id: r:1:0\ndata: a\n\n",
                    listOf(StreamEvent("", "a", "r:1:0")),
                ),
                StreamCase(
                    "an event without an id after one with an id",
                    "id: r:1:0\ndata: a\n\nevent: finish\ndata: b\n\n",
                    listOf(StreamEvent("", "a", "r:1:0"), StreamEvent("finish", "b")),
                ),
                StreamCase("a comment", ": keep-alive\n\n", emptyList()),
            ) { case ->
                val reader = EventStreamReader()
                val seen = case.text.toByteArray()
                    .fold(emptyList<StreamEvent>()) { events, byte ->
                        var next = events
                        reader.feed(byteArrayOf(byte)) { next = next + it }
                        next
                    }
                seen shouldBe case.events
            }
        }
    })
