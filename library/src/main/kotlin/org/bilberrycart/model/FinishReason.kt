package org.bilberrycart.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why an engine ended a generation by itself. */
@Serializable
public enum class FinishReason {
    /** The model ended its answer. */
    @SerialName("stop")
    STOP,

    /** The answer reached [Sampling.maxTokens]. */
    @SerialName("length")
    LENGTH,
}
