package org.bilberrycart.release

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits for the delivery of answers to callers.
 *
 * @property outboxParts the number of answer parts that the outbox of one caller can hold.
 * @property reconnectGrace how long an answer without a connected caller is kept.
 */
public data class ReleaseSettings(
    val outboxParts: Int = 64,
    val reconnectGrace: Duration = 30.seconds,
)
