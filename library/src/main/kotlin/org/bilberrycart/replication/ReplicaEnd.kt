package org.bilberrycart.replication

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.FinishReason
import org.bilberrycart.model.ResultCode

/** The end of a generation in the form that nodes send to each other. */
@Serializable
public sealed class ReplicaEnd {
    /** The engine finished after [tokenCount] tokens. */
    @Serializable
    @SerialName("f")
    @CborArray
    public data class Finished(val reason: FinishReason, val tokenCount: Int) : ReplicaEnd()

    /** The generation failed with the [ResultCode] of [number]. */
    @Serializable
    @SerialName("e")
    @CborArray
    public data class Failed(val number: Int, val detail: String) : ReplicaEnd()

    /** Returns the part of the answer that this represents. */
    public fun toAnswerPart(): AnswerPart = when (this) {
        is Finished -> AnswerPart.Finished(reason, tokenCount)
        is Failed -> AnswerPart.Failed(
            ResultCode.entries.firstOrNull { it.number == number } ?: ResultCode.INTERNAL,
            detail,
        )
    }

    public companion object {
        /** Returns the form of [part] that nodes send to each other. */
        public fun of(part: AnswerPart): ReplicaEnd = when (part) {
            is AnswerPart.Finished -> Finished(part.reason, part.tokenCount)
            is AnswerPart.Failed -> Failed(part.code.number, part.detail)
            else -> error("a generation cannot end with $part")
        }
    }
}
