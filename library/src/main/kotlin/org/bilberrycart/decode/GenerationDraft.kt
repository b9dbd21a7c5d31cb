package org.bilberrycart.decode

import kotlinx.serialization.Serializable
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.ServiceId

/**
 * The decoded but not yet validated request of a caller for a generation.
 *
 * @property deadlineMillis the time limit for the whole answer in milliseconds; null for the
 *   default of [requestClass].
 * @property stream whether the answer is sent as server-sent events or as one JSON document.
 */
@Serializable
public data class GenerationDraft(
    val service: ServiceId,
    val model: String,
    val adapter: String = "",
    val version: String = "1",
    val prompt: String,
    val maxTokens: Int,
    val temperature: Double = 0.0,
    val topP: Double = 1.0,
    val seed: Long = 0,
    val requestClass: RequestClass = RequestClass.LONG_DRAFT,
    val deadlineMillis: Long? = null,
    val stream: Boolean = true,
)
