package org.bilberrycart.gateway.http

/** How the answer to a call that no duty owned was ended. */
internal enum class UnownedEnd {
    /** Its caller was told that the call has not run: it was never sent to an upstream. */
    NotRun,

    /** Its caller was told that the call failed and may have run. */
    Failed,

    /** Its stream had begun and was broken off. */
    Aborted,
}
