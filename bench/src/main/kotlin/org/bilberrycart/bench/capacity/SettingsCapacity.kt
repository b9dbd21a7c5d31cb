package org.bilberrycart.bench.capacity

import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlinx.serialization.Serializable
import org.bilberrycart.decode.CallerJson
import org.bilberrycart.decode.Decoded
import org.bilberrycart.decode.Digests
import org.bilberrycart.decode.RequestChecker
import org.bilberrycart.decode.then
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestId
import org.bilberrycart.settings.FleetSettings
import org.bilberrycart.settings.SettingsFile
import org.bilberrycart.settings.SettingsReader
import org.bilberrycart.settings.SettingsResult

/**
 * Measures the cost of settings by the number of organisations, and the time to decode a request by
 * the length of its prompt in characters.
 */
class SettingsCapacity {
    /** Runs all measurements. */
    fun run(): SettingsFigures {
        val documents = ORGANISATION_COUNTS.associateWith(::document)
        repeat(WARM_UPS) { documents.values.forEach(::read) }
        repeat(WARM_UPS) { PROMPT_LENGTHS.forEach(::decodeMicros) }
        val bytes = documents.map { (count, text) ->
            Point(count.toDouble(), text.length.toDouble())
        }
        val check = documents.map { (count, text) -> Point(count.toDouble(), checkMillis(text)) }
        val heap = documents.map { (count, text) ->
            Point(count.toDouble(), retainedBytes(copiesOf(count)) { read(text) })
        }
        val decode = PROMPT_LENGTHS.map { Point(it.toDouble(), decodeMicros(it)) }
        return SettingsFigures(
            documentBytesByOrganisations = bytes,
            documentBytes = Slope.fit(bytes),
            checkMillisByOrganisations = check,
            checkMillis = Slope.fit(check),
            heapBytesByOrganisations = heap,
            heapBytes = Slope.fit(heap),
            decodeMicrosByPromptChars = decode,
            decodeMicros = Slope.fit(decode),
        )
    }

    private fun checkMillis(text: String): Double =
        medianTime(RUNS) { read(text) }.toDouble(DurationUnit.MILLISECONDS)

    private fun read(text: String): FleetSettings =
        when (val result = SettingsReader.readFleet(listOf(SettingsFile("generated", text)))) {
            is SettingsResult.Valid -> result.settings
            is SettingsResult.Invalid -> error("generated settings are invalid: ${result.faults}")
        }

    /** Returns the microseconds to decode and check a request with [chars] prompt characters. */
    private fun decodeMicros(chars: Int): Double {
        val checker = RequestChecker(read(document(organisations = 1)))
        val body = """{"service":"drafting","model":"m","maxTokens":64,"prompt":"""" +
            "lorem ipsum ".repeat(chars / FILLER_CHARS + 1).take(chars) + "\"}"
        val time = medianTime(RUNS) { repeat(DECODES) { decode(checker, body) } }
        return time.toDouble(DurationUnit.MICROSECONDS) / DECODES
    }

    private fun decode(checker: RequestChecker, body: String) {
        val request = CallerJson.generation(body).then {
            checker.generation(it, OrganisationId(nameOf(0)), RequestId("r"), Duration.ZERO)
        }
        check(request is Decoded.Valid) { "the generated body was not accepted: $request" }
    }

    /** Returns a settings document with one service and [organisations] organisations. */
    private fun document(organisations: Int): String = buildString {
        append("""{"dataCentres": {"dc-1": {"region": "r-1"}}, "services": {"drafting": """)
        append("""{"type": "generation", "models": [{"model": "m"}]}}, "organisations": {""")
        repeat(organisations) { number ->
            append(""""${nameOf(number)}": {"keyHash": "${Digests.sha256Hex("key-$number")}", """)
            append(""""services": ["drafting"], "limits": {"weight": 2, """)
            append(""""concurrentGenerations": 40}},""")
        }
        append("}}")
    }

    private fun nameOf(number: Int): String = "organisation-$number"

    private companion object {
        const val WARM_UPS = 5
        const val RUNS = 7
        const val DECODES = 500
        const val FILLER_CHARS = 12
        val ORGANISATION_COUNTS = listOf(10, 100, 1_000, 4_000, 7_900)
        val PROMPT_LENGTHS = listOf(100, 1_000, 10_000, 40_000)
    }
}

/** The results of [SettingsCapacity]: the measured points and the lines fitted through them. */
@Serializable
data class SettingsFigures(
    val documentBytesByOrganisations: List<Point>,
    val documentBytes: Slope,
    val checkMillisByOrganisations: List<Point>,
    val checkMillis: Slope,
    val heapBytesByOrganisations: List<Point>,
    val heapBytes: Slope,
    val decodeMicrosByPromptChars: List<Point>,
    val decodeMicros: Slope,
)
