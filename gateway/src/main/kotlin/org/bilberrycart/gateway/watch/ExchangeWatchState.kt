package org.bilberrycart.gateway.watch

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.gateway.model.CallKey

/**
 * The state of the exchange watch.
 *
 * @property unownedSince the open calls that placement did not own at the last look, with the time
 *   of the first such look.
 */
public data class ExchangeWatchState(
    val unownedSince: PersistentMap<CallKey, Duration> = persistentMapOf(),
)
