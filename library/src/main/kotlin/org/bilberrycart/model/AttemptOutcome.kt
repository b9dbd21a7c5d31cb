package org.bilberrycart.model

/** How an attempt ended, as routing learns it. */
public sealed class AttemptOutcome {
    /** The upstream did the work. */
    public data object Completed : AttemptOutcome()

    /** The work was lost. */
    public data class Lost(val cause: LossCause) : AttemptOutcome()

    /** The node cancelled the attempt. */
    public data object Cancelled : AttemptOutcome()
}
