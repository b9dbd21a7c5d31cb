package org.bilberrycart.standins.http

import kotlinx.serialization.Serializable

/** A model that an engine has loaded, as its protocol names it. */
@Serializable
data class LoadedModel(val model: String, val adapter: String = "", val version: String = "1")
