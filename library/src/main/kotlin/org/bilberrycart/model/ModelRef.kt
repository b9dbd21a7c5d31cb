package org.bilberrycart.model

import kotlinx.serialization.Serializable

/** What must be equal for one engine to continue the output of another. */
@Serializable
public data class ModelRef(val model: String, val adapter: String = "", val version: String = "1")
