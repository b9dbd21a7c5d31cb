package org.bilberrycart.standins.http

import kotlinx.serialization.Serializable

/** A loaded model, adapter and version in the engine's protocol; an empty adapter is none. */
@Serializable
data class LoadedModel(val model: String, val adapter: String = "", val version: String = "1")
