package org.bilberrycart.settings

import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject

/** Parses a settings file of limited size and nesting depth. */
internal object SettingsParser {
    /**
     * The maximum length of a file, in characters, and its maximum size in bytes.
     *
     * It leaves room for four times the organisations of the largest fleet.
     */
    const val MAX_FILE_SIZE = 16 * 1024 * 1024

    /** The maximum nesting depth of objects and arrays. */
    const val MAX_DEPTH = 32

    private const val MAX_MESSAGE_LENGTH = 200
    private val json = Json {
        allowComments = true
        allowTrailingComma = true
    }

    /** The result of parsing one file. */
    sealed class Parsed {
        /** The [file] contains the object [root]. */
        data class Success(val file: String, val root: JsonObject) : Parsed()

        /** The file is not valid because of [fault]. */
        data class Failure(val fault: SettingsFault) : Parsed()
    }

    /** Parses [file], the root of which must be an object. */
    fun parse(file: SettingsFile): Parsed = when {
        file.text.length > MAX_FILE_SIZE ->
            failure(file, "at most $MAX_FILE_SIZE characters", "${file.text.length}")

        !NestingDepth.isWithin(file.text, MAX_DEPTH) ->
            failure(file, "nesting of at most $MAX_DEPTH levels", "more")

        else -> parseText(file)
    }

    private fun parseText(file: SettingsFile): Parsed = try {
        check(file, json.parseToJsonElement(file.text))
    } catch (e: SerializationException) {
        failure(file, "JSON with comments", e.message.orEmpty().lineSequence().first())
    }

    private fun check(file: SettingsFile, root: JsonElement): Parsed = when (root) {
        is JsonObject -> Parsed.Success(file.name, root)
        else -> failure(file, "an object", describe(root))
    }

    private fun failure(file: SettingsFile, expected: String, found: String): Parsed =
        Parsed.Failure(SettingsFault(file.name, "", expected, found.take(MAX_MESSAGE_LENGTH)))
}
