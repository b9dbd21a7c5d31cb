package org.bilberrycart.daemon

import kotlinx.serialization.json.Json

/** Writes measured figures for people. */
internal object CapacityText {
    @PublishedApi
    internal val json = Json { prettyPrint = true }

    inline fun <reified T> of(figures: T): String = json.encodeToString(figures)
}
