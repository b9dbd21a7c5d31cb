package org.bilberrycart.gateway.model

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What a caller may send, and how long its connection may stay idle. */
public data class RequestLimits(
    val headerBytes: Int = 16_384,
    val bodyBytes: Int = 4_194_304,
    val headerTime: Duration = 3.seconds,
    val idleTime: Duration = 15.seconds,
)
