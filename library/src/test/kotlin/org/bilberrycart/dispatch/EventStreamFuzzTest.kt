package org.bilberrycart.dispatch

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.bilberrycart.dispatch.EventStreamReader.StreamEvent
import org.bilberrycart.fuzz.FUZZ_SEED
import org.bilberrycart.fuzz.mutations
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.RequestId

private const val ITERATIONS = 5_000
private const val MAX_EVENT_BYTES = 64
private val attempt = AttemptId(RequestId("r-1"), epoch = 1, number = 1)
private val samples = listOf(
    "data: {\"index\":0,\"text\":\"Xe l\u0103n tay\"}\n\n",
    "event: finish\r\ndata: {\"reason\":\"stop\",\n\r\ndata: \"tokens\":1}\r\n\r\n",
    ": comment\nid: 7\ndata:x\n\ndata\n\ndata: " + "y".repeat(MAX_EVENT_BYTES) + "\n\n",
).map { it.toByteArray() }

/** Parses a stream that arrives in the given pieces; null if an event exceeds the limit. */
private typealias EventParser = (List<ByteArray>) -> List<StreamEvent>?

private fun readEvents(pieces: List<ByteArray>): List<StreamEvent>? {
    val reader = EventStreamReader(MAX_EVENT_BYTES)
    val events = mutableListOf<StreamEvent>()
    return try {
        pieces.forEach { piece -> reader.feed(piece) { events += it } }
        events
    } catch (e: IllegalArgumentException) {
        null
    }
}

private fun fuzz(parse: EventParser) = runBlocking {
    checkAll(
        PropTestConfig(seed = FUZZ_SEED, iterations = ITERATIONS),
        mutations(samples),
        Arb.int(1..16),
    ) { bytes, size ->
        val pieces = bytes.asList().chunked(size) { it.toByteArray() }
        val events = parse(pieces)
        events shouldBe parse(listOf(bytes))
        events.orEmpty().forEach {
            it.data.length shouldBeLessThanOrEqual MAX_EVENT_BYTES
            EngineMessages.decode(attempt, it).attempt shouldBe attempt
        }
    }
}

private data class InjectedBug(val name: String, val parse: EventParser) : WithDataTestName {
    override fun dataTestName(): String = name
}

class EventStreamFuzzTest :
    FunSpec({
        test(
            "however its bytes are split, a stream gives the same events within the limit",
        ) {
            fuzz(::readEvents)
        }

        context("fuzzing detects a faulty reader") {
            withData(
                InjectedBug("decodes UTF-8 separately in each piece") { pieces ->
                    readEvents(pieces.map { String(it).toByteArray() })
                },
                InjectedBug("ends a line at the end of each piece") { pieces ->
                    readEvents(pieces.flatMap { listOf(it, "\n".toByteArray()) }.dropLast(1))
                },
                InjectedBug("has no limit on the length of an event") { pieces ->
                    val bytes = pieces.fold(ByteArray(0)) { all, piece -> all + piece }
                    String(bytes).split("\n\n").map { StreamEvent("", it) }
                },
            ) { bug -> shouldThrow<AssertionError> { fuzz(bug.parse) } }
        }

        test("an event that never ends is rejected at the limit") {
            readEvents(
                listOf(
                    "data: ".toByteArray(),
                    ByteArray(1_000_000) {
                        'x'.code.toByte()
                    },
                ),
            ) shouldBe
                null
            readEvents(List(1_000_000) { "data:x\n".toByteArray() }) shouldBe null
        }
    })
