package org.bilberrycart.gateway.node

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Reads the settings of a gateway node from a file. */
public object SettingsFile {
    private val json = Json {
        ignoreUnknownKeys = true
        allowComments = true
        allowTrailingComma = true
    }

    /** Returns the settings in [path], or what is wrong with them. */
    public fun read(path: Path): SettingsResult = try {
        SettingsResult.Read(json.decodeFromString<GatewaySettings>(Files.readString(path)))
    } catch (e: IOException) {
        SettingsResult.Unusable("can't read $path: $e")
    } catch (e: SerializationException) {
        SettingsResult.Unusable("$path is not valid: ${e.message}")
    }
}
