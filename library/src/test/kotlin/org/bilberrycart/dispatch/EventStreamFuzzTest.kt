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
private const val EVENT_LIMIT = 64
private val attempt = AttemptId(RequestId("r-1"), epoch = 1, number = 1)
private val samples = listOf(
    "data: {\"index\":0,\"text\":\"Xe l\u0103n tay\"}\n\n",
    "event: finish\r\ndata: {\"reason\":\"stop\",\n\r\ndata: \"tokens\":1}\r\n\r\n",
    ": comment\nid: 7\ndata:x\n\ndata\n\ndata: " + "y".repeat(EVENT_LIMIT) + "\n\n",
).map { it.toByteArray() }

/** Reads a stream that comes in the given pieces; null if an event is over the limit. */
private typealias Read = (List<ByteArray>) -> List<StreamEvent>?

private fun real(pieces: List<ByteArray>): List<StreamEvent>? {
    val reader = EventStreamReader(EVENT_LIMIT)
    val events = mutableListOf<StreamEvent>()
    return try {
        pieces.forEach { piece -> reader.feed(piece) { events += it } }
        events
    } catch (e: IllegalArgumentException) {
        null
    }
}

private fun fuzz(read: Read) = runBlocking {
    checkAll(
        PropTestConfig(seed = FUZZ_SEED, iterations = ITERATIONS),
        mutations(samples),
        Arb.int(1..16),
    ) { bytes, size ->
        val pieces = bytes.asList().chunked(size) { it.toByteArray() }
        val events = read(pieces)
        events shouldBe read(listOf(bytes))
        events.orEmpty().forEach {
            it.data.length shouldBeLessThanOrEqual EVENT_LIMIT
            EngineMessages.decode(attempt, it).attempt shouldBe attempt
        }
    }
}

private data class PlantedFault(val name: String, val read: Read) : WithDataTestName {
    override fun dataTestName(): String = name
}

class EventStreamFuzzTest :
    FunSpec({
        test("a stream reads the same in whatever pieces it comes, within its bound") {
            fuzz(::real)
        }

        context("fuzzing finds a planted fault") {
            withData(
                PlantedFault("a reader that decodes each piece by itself") { pieces ->
                    real(pieces.map { String(it).toByteArray() })
                },
                PlantedFault("a reader that ends a line at the end of a piece") { pieces ->
                    real(pieces.flatMap { listOf(it, "\n".toByteArray()) }.dropLast(1))
                },
                PlantedFault("a reader without a bound") { pieces ->
                    val bytes = pieces.fold(ByteArray(0)) { all, piece -> all + piece }
                    String(bytes).split("\n\n").map { StreamEvent("", it) }
                },
            ) { planted -> shouldThrow<AssertionError> { fuzz(planted.read) } }
        }

        test("an event that never ends is refused at the bound") {
            real(
                listOf(
                    "data: ".toByteArray(),
                    ByteArray(1_000_000) {
                        'x'.code.toByte()
                    },
                ),
            ) shouldBe
                null
            real(List(1_000_000) { "data:x\n".toByteArray() }) shouldBe null
        }
    })
