package org.bilberrycart.journal

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a service does when an engine dies in the middle of a generation. */
@Serializable
public sealed class ResumePolicy {
    /** Goes on with one other engine; saves work. */
    @Serializable
    @SerialName("elsewhere")
    public data object Elsewhere : ResumePolicy()

    /** Goes on with [engines] engines; the first token wins and the others are cancelled. */
    @Serializable
    @SerialName("hedged")
    public data class Hedged(val engines: Int = 2) : ResumePolicy()
}
