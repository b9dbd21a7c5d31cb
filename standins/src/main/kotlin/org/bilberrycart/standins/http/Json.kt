package org.bilberrycart.standins.http

import kotlinx.serialization.json.Json
import org.http4k.core.Response
import org.http4k.core.Status

/** The JSON format of the stand-ins: defaults are written and unknown keys are rejected. */
internal val standInJson = Json { encodeDefaults = true }

/** Returns a response with [value] as its JSON body. */
internal inline fun <reified T> jsonResponse(status: Status, value: T): Response = Response(status)
    .header("Content-Type", "application/json")
    .body(standInJson.encodeToString(value))
