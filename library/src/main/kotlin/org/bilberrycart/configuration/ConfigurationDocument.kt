package org.bilberrycart.configuration

import kotlinx.serialization.Serializable

/**
 * One accepted configuration; it never changes once it is written.
 *
 * @property version rises by one with each accepted change.
 * @property publication tells two operators apart who race for one version.
 * @property author who applied it.
 * @property appliedAt when, by the operator's wall clock; for people only, never compared.
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
