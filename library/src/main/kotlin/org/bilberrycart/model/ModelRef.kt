package org.bilberrycart.model

import kotlinx.serialization.Serializable

/**
 * Identifies a model with its adapter and version.
 *
 * An engine can continue the output of another only if both have the same model, adapter and
 * version.
 *
 * @property adapter the adapter applied to the model; empty for none.
 */
@Serializable
public data class ModelRef(val model: String, val adapter: String = "", val version: String = "1")
