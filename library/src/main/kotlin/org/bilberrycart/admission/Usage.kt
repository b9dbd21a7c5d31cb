package org.bilberrycart.admission

import kotlinx.serialization.Serializable

/**
 * The usage of one organisation on one or more nodes.
 *
 * @property requestsPerSecond admitted requests per second.
 * @property concurrent the number of requests that wait or run.
 * @property tokensPerMinute generated tokens per minute.
 * @property offered how many slots its arriving requests would occupy, the refused ones included.
 */
@Serializable
public data class Usage(
    val requestsPerSecond: Double = 0.0,
    val concurrent: Int = 0,
    val tokensPerMinute: Double = 0.0,
    val offered: Double = 0.0,
)
