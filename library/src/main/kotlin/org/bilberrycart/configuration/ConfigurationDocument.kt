package org.bilberrycart.configuration

import kotlinx.serialization.Serializable

/**
 * An accepted configuration, which never changes once it is written.
 *
 * @property version increases by one with each accepted change.
 * @property publication identifies the attempt that wrote the document, so that operators who
 *   apply changes at the same time can tell whose change got the version.
 * @property author the operator who applied the change.
 * @property appliedAt when the change was applied, by the operator's wall clock; it is only shown,
 *   never compared.
 * @property text the settings that all nodes share, as JSON.
 */
@Serializable
public data class ConfigurationDocument(
    val version: Long,
    val publication: String,
    val author: String,
    val appliedAt: String,
    val text: String,
)
