package org.bilberrycart.gateway.node

import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Reads the settings of a gateway node from a file. */
public object GatewaySettingsFile {
    private val json = Json {
        ignoreUnknownKeys = true
        allowComments = true
        allowTrailingComma = true
    }

    /** Returns the settings in the file at [path], or why they can't be used. */
    public fun read(path: Path): GatewaySettingsResult = try {
        GatewaySettingsResult.Read(json.decodeFromString<GatewaySettings>(Files.readString(path)))
    } catch (e: IOException) {
        GatewaySettingsResult.Unusable("can't read $path: $e")
    } catch (e: SerializationException) {
        GatewaySettingsResult.Unusable("$path is not valid: ${e.message}")
    }
}
