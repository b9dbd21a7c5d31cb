package org.bilberrycart.journal

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a service continues a generation whose engine was lost. */
@Serializable
public sealed class ResumePolicy {
    /** Continues on one other engine, which avoids duplicate work. */
    @Serializable
    @SerialName("elsewhere")
    public data object SingleEngine : ResumePolicy()

    /**
     * Continues on [engines] engines at once; the first to produce a token continues and the others
     * are cancelled.
     */
    @Serializable
    @SerialName("hedged")
    public data class Hedged(val engines: Int = 2) : ResumePolicy()
}
