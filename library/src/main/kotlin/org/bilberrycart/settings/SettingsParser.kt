package org.bilberrycart.settings

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** Parses one file, within bounds on its size and nesting. */
internal object SettingsParser {
    /** The largest file, in characters: four times the organisations of the largest fleet. */
    const val FILE_LIMIT = 16 * 1024 * 1024

    /** The deepest nesting of objects and arrays. */
    const val DEPTH_LIMIT = 32

    private const val MESSAGE_LIMIT = 200
    private val json = Json {
        allowComments = true
        allowTrailingComma = true
    }

    /** The outcome of parsing one file. */
    sealed class Parsed {
        data class Whole(val file: String, val root: JsonObject) : Parsed()

        data class Faulty(val fault: SettingsFault) : Parsed()
    }

    fun parse(file: SettingsFile): Parsed = when {
        file.text.length > FILE_LIMIT ->
            faulty(file, "at most $FILE_LIMIT characters", "${file.text.length}")

        !NestingDepth.isWithin(file.text, DEPTH_LIMIT) ->
            faulty(file, "nesting of at most $DEPTH_LIMIT levels", "more")

        else -> parseText(file)
    }

    private fun parseText(file: SettingsFile): Parsed = try {
        check(file, json.parseToJsonElement(file.text))
    } catch (e: SerializationException) {
        faulty(file, "JSON with comments", e.message.orEmpty().lineSequence().first())
    }

    private fun check(file: SettingsFile, root: JsonElement): Parsed = when (root) {
        is JsonObject -> Parsed.Whole(file.name, root)
        else -> faulty(file, "an object", describe(root))
    }

    private fun faulty(file: SettingsFile, expected: String, found: String): Parsed =
        Parsed.Faulty(SettingsFault(file.name, "", expected, found.take(MESSAGE_LIMIT)))
}
