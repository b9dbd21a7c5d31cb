package org.bilberrycart.gateway.relay

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.gateway.model.CallKey

/** The streams under way. */
public data class RelayState(
    val streams: PersistentMap<CallKey, RelayedStream> = persistentMapOf(),
)
