package org.bilberrycart.model

/** The outcome of an attempt, as reported to routing. */
public sealed class AttemptOutcome {
    /** The upstream completed the work. */
    public data object Completed : AttemptOutcome()

    /** The attempt failed because of [cause]. */
    public data class Lost(val cause: LossCause) : AttemptOutcome()

    /** The node cancelled the attempt. */
    public data object Cancelled : AttemptOutcome()
}
