package org.bilberrycart.suspect

import kotlin.time.Duration
import org.bilberrycart.model.Fingerprint

/** An attempt that was passed on to routing at [passedAt]; it runs [isAlone] or beside others. */
public data class SuspectAttempt(
    val fingerprint: Fingerprint,
    val passedAt: Duration,
    val isAlone: Boolean = false,
)
