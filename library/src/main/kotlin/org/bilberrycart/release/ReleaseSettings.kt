package org.bilberrycart.release

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * How answers are handed to callers.
 *
 * @property outboxParts the parts that the outbox of one caller holds.
 * @property reconnectGrace how long an answer waits for its caller to come back.
 */
public data class ReleaseSettings(
    val outboxParts: Int = 64,
    val reconnectGrace: Duration = 30.seconds,
)
