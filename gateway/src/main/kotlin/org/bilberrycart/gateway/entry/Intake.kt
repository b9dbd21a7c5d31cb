package org.bilberrycart.gateway.entry

import org.bilberrycart.gateway.model.RetryRule

/** What a node still takes. */
public sealed class Intake {
    /** Everything. */
    public data object All : Intake()

    /** Calls, which end soon, but no streams. */
    public data object Calls : Intake()

    /** Nothing: what came now could not end before the process does. */
    public data object Nothing : Intake()

    /** Whether a call with the rule [repeat] is taken. */
    public fun takes(repeat: RetryRule): Boolean = when (this) {
        All -> true
        Calls -> repeat !is RetryRule.Stream
        Nothing -> false
    }
}
