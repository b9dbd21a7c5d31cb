package org.bilberrycart.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Why an engine finished a generation normally. */
@Serializable
public enum class FinishReason {
    /** The model produced its end of output. */
    @SerialName("stop")
    STOP,

    /** The answer reached [Sampling.maxTokens]. */
    @SerialName("length")
    LENGTH,
}
