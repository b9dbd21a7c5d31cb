package org.bilberrycart.dispatch

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The timeouts and limits of the connections to upstreams.
 *
 * @property connectTimeout how long opening a connection may take.
 * @property probeTimeout how long an upstream may take to answer a health probe.
 * @property cancelTimeout how long an upstream may take to confirm a cancellation.
 * @property maxIdleTime how long a pooled connection may stay idle before it is closed.
 * @property maxConnectionAge how long a pooled connection is reused; it is bounded because a
 *   network path can drop the packets of an idle connection without closing it.
 * @property connectionsPerUpstream the largest number of open connections to one upstream, and of
 *   requests that wait for one.
 * @property maxReplyBytes the longest response body of a plain service that is accepted.
 */
public data class DispatchClientSettings(
    val connectTimeout: Duration = 500.milliseconds,
    val probeTimeout: Duration = 300.milliseconds,
    val cancelTimeout: Duration = 2.seconds,
    val maxIdleTime: Duration = 20.seconds,
    val maxConnectionAge: Duration = 60.seconds,
    val connectionsPerUpstream: Int = 4096,
    val maxReplyBytes: Int = 1_048_576,
)
