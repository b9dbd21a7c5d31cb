package org.bilberrycart.admission

import kotlinx.serialization.Serializable

/**
 * What an organisation uses.
 *
 * @property requestsPerSecond new requests a second.
 * @property concurrent requests that wait or run.
 * @property tokensPerMinute tokens generated a minute.
 * @property offered the slots that its arriving requests would take, the refused ones included.
 */
@Serializable
public data class Usage(
    val requestsPerSecond: Double = 0.0,
    val concurrent: Int = 0,
    val tokensPerMinute: Double = 0.0,
    val offered: Double = 0.0,
)
