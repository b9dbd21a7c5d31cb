package org.bilberrycart.gateway.model

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits on the requests and connections of callers.
 *
 * @property headerBytes the maximum size of the headers of one request.
 * @property bodyBytes the maximum size of a request body.
 * @property headerTimeout how long a caller may take to send the headers.
 * @property idleTimeout how long a connection may stay idle.
 */
public data class RequestLimits(
    val headerBytes: Int = 16_384,
    val bodyBytes: Int = 4_194_304,
    val headerTimeout: Duration = 3.seconds,
    val idleTimeout: Duration = 15.seconds,
)
