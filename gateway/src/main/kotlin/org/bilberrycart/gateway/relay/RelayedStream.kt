package org.bilberrycart.gateway.relay

import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.RoutedCall

/**
 * A stream on its way to a caller.
 *
 * @property current the only attempt whose bytes go on.
 * @property lastEvent the last event that the caller has, null before the first.
 * @property rest bytes of [current] that do not yet make a whole event.
 * @property isOpen whether the caller has the head.
 */
public data class RelayedStream(
    val current: AttemptKey,
    val call: RoutedCall,
    val lastEvent: Long?,
    val rest: Body = Body.EMPTY,
    val isOpen: Boolean = false,
)
