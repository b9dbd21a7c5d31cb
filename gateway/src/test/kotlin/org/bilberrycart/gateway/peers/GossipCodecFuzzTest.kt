package org.bilberrycart.gateway.peers

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import io.kotest.property.PropTestConfig
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import org.bilberrycart.fuzz.FUZZ_SEED
import org.bilberrycart.fuzz.mutations
import org.bilberrycart.gateway.discovery.StoreVersion
import org.bilberrycart.gateway.discovery.TableEdition
import org.bilberrycart.gateway.model.PartReport
import org.bilberrycart.gateway.model.RetryUse

private const val ITERATIONS = 3_000

private val whole = GossipMessage(
    sender = "a:1",
    incarnation = 7,
    sequence = 8,
    members = listOf("b:1", "c:1"),
    loads = mapOf("u" to 2),
    lossAges = mapOf("v" to 30),
    editions = mapOf("T" to TableEdition(7, StoreVersion(era = 8, number = 9))),
    crashes = mapOf(-3L to listOf("v")),
    retries = mapOf("s" to RetryUse(firstDispatches = 4, retries = 1)),
    parts = PartReport(
        crashes = listOf(PartReport.CrashReport("v", ageMillis = 5, listOf("p", "q"))),
        answerAges = mapOf("p" to 6),
    ),
)

private val samples = listOf(whole, GossipMessage("a:1", incarnation = 7, sequence = 8))
    .map(GossipCodec::encode)

private val tables = listOf(
    TableCopy(
        StoreVersion(era = 1, number = 9),
        listOf(TableCopy.Row("k", "{}".toByteArray(), StoreVersion(era = 1, number = 8))),
    ),
    TableCopy(StoreVersion(era = 0, number = 0), emptyList()),
).map(GossipCodec::encode)

private typealias Decode = (ByteArray) -> GossipMessage?

private fun fuzz(decode: Decode) = runBlocking {
    checkAll(
        PropTestConfig(seed = FUZZ_SEED, iterations = ITERATIONS),
        mutations(samples),
    ) { bytes ->
        decode(bytes)?.let { message -> decode(GossipCodec.encode(message)) shouldBe message }
    }
}

private fun fuzzTables() = runBlocking {
    checkAll(
        PropTestConfig(seed = FUZZ_SEED, iterations = ITERATIONS),
        mutations(tables),
    ) { bytes ->
        GossipCodec.decodeTable(bytes)?.let { table ->
            GossipCodec.decodeTable(GossipCodec.encode(table))?.page() shouldBe table.page()
        }
    }
}

private data class InjectedBug(val name: String, val decode: Decode) : WithDataTestName {
    override fun dataTestName(): String = name
}

@OptIn(ExperimentalSerializationApi::class)
class GossipCodecFuzzTest :
    FunSpec({
        test("any bytes give a message that survives a round trip, or none") {
            fuzz(GossipCodec::decodeMessage)
        }

        test("any bytes give a copy of a table that survives a round trip, or none") {
            fuzzTables()
        }

        context("fuzzing detects a faulty decoder") {
            withData(
                InjectedBug("throws on malformed bytes") { Cbor.decodeFromByteArray(it) },
                InjectedBug("counts the messages that it decodes") { bytes ->
                    GossipCodec.decodeMessage(bytes)?.let { it.copy(sequence = it.sequence + 1) }
                },
                InjectedBug("loses the retries") { bytes ->
                    GossipCodec.decodeMessage(bytes)?.let { message ->
                        val isAgain = GossipCodec.encode(message).contentEquals(bytes)
                        if (isAgain) message.copy(retries = emptyMap()) else message
                    }
                },
            ) { bug -> shouldThrow<AssertionError> { fuzz(bug.decode) } }
        }
    })
