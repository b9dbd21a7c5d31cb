package org.bilberrycart.suspect

import kotlin.time.Duration
import org.bilberrycart.model.Fingerprint

/**
 * An attempt that was forwarded to routing at [forwardedAt].
 *
 * @property isAlone whether the upstream runs nothing else beside this attempt.
 */
public data class SuspectAttempt(
    val fingerprint: Fingerprint,
    val forwardedAt: Duration,
    val isAlone: Boolean = false,
)
