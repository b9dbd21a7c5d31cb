package org.bilberrycart.standins.http

import kotlinx.serialization.Serializable

/** The answer of `GET /v1/load`. */
@Serializable
data class LoadBody(
    val slots: Int,
    val running: Int,
    val queued: Int,
    val incarnation: Long,
    val leaving: Boolean,
    val models: List<LoadedModel> = emptyList(),
)
