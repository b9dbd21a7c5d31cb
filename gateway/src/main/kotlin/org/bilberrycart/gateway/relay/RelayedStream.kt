package org.bilberrycart.gateway.relay

import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.RoutedCall
import org.bilberrycart.gateway.model.StreamOrigin

/**
 * A stream that is being forwarded to a caller.
 *
 * @property currentAttempt the only attempt whose bytes are forwarded.
 * @property lastEvent the id of the last event sent to the caller; null before the first one.
 * @property partialEvent bytes of [currentAttempt] that do not yet form a complete event.
 * @property mustBringEvent whether an end of [currentAttempt] before its first event is no end of
 *   the stream: its answer ends with its connection, so that the end can't be told from a crash, or
 *   it is to go on with a stream that has begun, of which an empty answer tells nothing.
 * @property softwareVersion the version of the software at the upstream of [currentAttempt].
 * @property isForwarded whether [currentAttempt] was sent to another node, so that the version is
 *   unknown unless the stream had begun before.
 * @property origin where the stream may go on.
 * @property isOpen whether the head of the answer was sent to the caller.
 */
public data class RelayedStream(
    val currentAttempt: AttemptKey,
    val call: RoutedCall,
    val lastEvent: Long?,
    val partialEvent: Body = Body.EMPTY,
    val mustBringEvent: Boolean = false,
    val softwareVersion: String? = null,
    val isForwarded: Boolean = false,
    val origin: StreamOrigin = StreamOrigin.NotBegun,
    val isOpen: Boolean = false,
)
