package org.bilberrycart.decode

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.bilberrycart.fuzz.FUZZ_SEED
import org.bilberrycart.fuzz.mutations
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.EventId
import org.bilberrycart.model.ResultCode

private const val ITERATIONS = 5_000
private const val DETAIL_LENGTH_BOUND = 201
private val config = PropTestConfig(seed = FUZZ_SEED, iterations = ITERATIONS)
private val samples = listOf(
    """{"service":"drafting","model":"fixtures","prompt":"Hello","maxTokens":16}""",
    """{"service":"d","model":"m","adapter":"a","version":"2","prompt":"\u00e9\n",
        "maxTokens":1,"temperature":0.7,"topP":0.5,"seed":-9,"requestClass":"shortQuestion",
        "deadlineMillis":5000,"stream":false}""",
).map { it.toByteArray() }

private typealias Decoder = (String) -> Decoded<GenerationDraft>

private fun fuzz(decode: Decoder) = runBlocking {
    checkAll(config, mutations(samples)) { bytes ->
        when (val result = decode(String(bytes))) {
            is Decoded.Valid -> {
                val text = Json.encodeToString(GenerationDraft.serializer(), result.value)
                decode(text) shouldBe result
            }
            is Decoded.Invalid -> {
                result.code shouldBe ResultCode.MALFORMED_BODY
                result.detail.length shouldBeLessThan DETAIL_LENGTH_BOUND
            }
        }
    }
}

private data class InjectedBug(val name: String, val decode: Decoder) : WithDataTestName {
    override fun dataTestName(): String = name
}

class CallerJsonFuzzTest :
    FunSpec({
        test("any body decodes to a draft that survives a round trip, or to a numbered error") {
            fuzz(CallerJson::generation)
        }

        context("fuzzing detects a faulty decoder") {
            withData(
                InjectedBug("throws on a malformed body") {
                    Decoded.Valid(Json.decodeFromString(GenerationDraft.serializer(), it))
                },
                InjectedBug("repeats the body in its error") { body ->
                    when (val result = CallerJson.generation(body)) {
                        is Decoded.Valid -> result
                        is Decoded.Invalid -> result.copy(detail = body)
                    }
                },
                InjectedBug("reports a malformed body as an internal error") { body ->
                    when (val result = CallerJson.generation(body)) {
                        is Decoded.Valid -> result
                        is Decoded.Invalid -> result.copy(code = ResultCode.INTERNAL)
                    }
                },
            ) { bug -> shouldThrow<AssertionError> { fuzz(bug.decode) } }
        }

        test("deeply nested JSON gives a numbered error and no stack overflow") {
            listOf("[", "{\"prompt\":", "{\"x\":[").forEach { opening ->
                CallerJson.generation(opening.repeat(200_000))
                    .shouldBeInstanceOf<Decoded.Invalid>()
            }
        }

        test("any text parses to an id that is formatted as it was parsed, or to none") {
            checkAll(config, Arb.string(0..80)) { text ->
                val forms = listOf(text, "r-1:$text:0", "$text:1:2", "r-1.$text.2", "r-1.1.$text")
                forms.mapNotNull(EventId::parse).forEach { EventId.parse("$it") shouldBe it }
                forms.mapNotNull(AttemptId::parse).forEach { AttemptId.parse("$it") shouldBe it }
                Credential.parse("Bearer $text")
            }
        }
    })
