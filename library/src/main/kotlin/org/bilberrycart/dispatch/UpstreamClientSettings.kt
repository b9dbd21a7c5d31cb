package org.bilberrycart.dispatch

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The limits of the connections to upstreams.
 *
 * @property idleAge how long a pooled connection may lie idle.
 * @property maxAge how long a pooled connection may live, since idle ones can go silent for good.
 */
public data class UpstreamClientSettings(
    val connectTimeout: Duration = 500.milliseconds,
    val probeTimeout: Duration = 300.milliseconds,
    val cancelTimeout: Duration = 2.seconds,
    val idleAge: Duration = 20.seconds,
    val maxAge: Duration = 60.seconds,
    val connectionsPerUpstream: Int = 4096,
    val maxReplyBytes: Int = 1_048_576,
)
