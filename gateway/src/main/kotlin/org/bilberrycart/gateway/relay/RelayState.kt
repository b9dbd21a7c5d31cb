package org.bilberrycart.gateway.relay

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.gateway.model.CallKey

/** The state of the relay: the streams that have not ended, by call. */
public data class RelayState(
    val streams: PersistentMap<CallKey, RelayedStream> = persistentMapOf(),
)
