package org.bilberrycart.gateway.model

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * The use of the retry budget of one service during the retry window.
 *
 * @property firstDispatches the number of calls that were sent for the first time.
 * @property retries the number of dispatches that followed the first one of a call.
 */
@Serializable
public data class RetryUse(
    @CborLabel(label = 1) val firstDispatches: Int = 0,
    @CborLabel(label = 2) val retries: Int = 0,
) {
    /** Returns the sum of both uses. */
    public operator fun plus(other: RetryUse): RetryUse =
        RetryUse(firstDispatches + other.firstDispatches, retries + other.retries)
}
