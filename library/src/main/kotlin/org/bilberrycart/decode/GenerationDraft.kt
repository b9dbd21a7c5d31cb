package org.bilberrycart.decode

import kotlinx.serialization.Serializable
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.ServiceId

/**
 * A generation as a caller asks for it, before it is checked.
 *
 * @property deadlineMillis the time for the whole answer; null for the default of the class.
 * @property stream whether the answer comes as server-sent events or whole.
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
