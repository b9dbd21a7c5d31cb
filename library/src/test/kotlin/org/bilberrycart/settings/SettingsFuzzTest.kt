package org.bilberrycart.settings

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.PropTestConfig
import io.kotest.property.checkAll
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.readBytes
import kotlin.io.path.readText
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.bilberrycart.fuzz.FUZZ_SEED
import org.bilberrycart.fuzz.mutations

private const val ITERATIONS = 2_000
private const val MAX_FAULT_LENGTH = 2_000
private const val DEPTH = 200_000
private val folder = Path.of("../examples/phuong-nam").listDirectoryEntries("*.json").sorted()
private val base = folder.map { SettingsFile(it.toString(), it.readText()) }

private typealias Reader = (List<SettingsFile>) -> SettingsResult<Settings>

private fun fuzz(read: Reader) = runBlocking {
    checkAll(
        PropTestConfig(seed = FUZZ_SEED, iterations = ITERATIONS),
        mutations(folder.map { it.readBytes() }),
    ) { bytes ->
        when (val result = read(base + SettingsFile("fuzz", String(bytes)))) {
            is SettingsResult.Valid -> result.settings shouldBe writeAndRead(result.settings, read)
            is SettingsResult.Invalid -> {
                result.faults.shouldNotBeEmpty()
                result.faults.maxOf { it.toString().length } shouldBeLessThan MAX_FAULT_LENGTH
            }
        }
    }
}

/** Serializes valid [settings] and reads the result. */
private fun writeAndRead(settings: Settings, read: Reader): Settings {
    val text = EffectiveSettings.toJson(settings).toString()
    return read(listOf(SettingsFile("again", text)))
        .shouldBeInstanceOf<SettingsResult.Valid<Settings>>().settings
}

private data class FaultyReader(val name: String, val read: Reader) : WithDataTestName {
    override fun dataTestName(): String = name
}

class SettingsFuzzTest :
    FunSpec({
        test("any input gives valid settings that survive a round trip, or readable faults") {
            fuzz(SettingsReader::read)
        }

        context("fuzzing detects a faulty reader") {
            withData(
                FaultyReader("a reader that throws") { files ->
                    Json.parseToJsonElement(files.last().text.ifBlank { "{}" })
                    SettingsReader.read(files)
                },
                FaultyReader("a reader that reports no faults") { files ->
                    when (val result = SettingsReader.read(files)) {
                        is SettingsResult.Valid -> result
                        is SettingsResult.Invalid -> result.copy(faults = result.faults.clear())
                    }
                },
                FaultyReader("a reader that ignores the last file") { files ->
                    SettingsReader.read(files.dropLast(1))
                },
            ) { faulty -> shouldThrow<AssertionError> { fuzz(faulty.read) } }
        }

        context("nesting that is too deep is a fault and does not overflow the stack") {
            withData("[", "{\"a\":", "/*", "[/*]*/", "[\"]\",", "[//]\n") { opening ->
                SettingsReader.read(listOf(SettingsFile("deep", opening.repeat(DEPTH))))
                    .shouldBeInstanceOf<SettingsResult.Invalid>()
            }
        }

        test("brackets in strings and comments do not count as nesting") {
            val text = "/*" + "[".repeat(DEPTH) + "*/" + folder.first().readText() +
                "// " + "{".repeat(DEPTH)
            val files = listOf(SettingsFile("first", text)) + base.drop(1)
            SettingsReader.read(files).shouldBeInstanceOf<SettingsResult.Valid<Settings>>()
        }
    })
