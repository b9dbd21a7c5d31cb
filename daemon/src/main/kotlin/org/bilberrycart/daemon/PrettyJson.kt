package org.bilberrycart.daemon

import kotlinx.serialization.json.Json

/** Formats measured figures as indented JSON. */
internal object PrettyJson {
    @PublishedApi
    internal val json = Json { prettyPrint = true }

    inline fun <reified T> of(figures: T): String = json.encodeToString(figures)
}
