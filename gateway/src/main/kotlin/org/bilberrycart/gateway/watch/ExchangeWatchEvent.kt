package org.bilberrycart.gateway.watch

import kotlinx.collections.immutable.PersistentSet
import org.bilberrycart.gateway.model.CallKey

/** The inputs of the exchange watch. */
public sealed class ExchangeWatchEvent {
    /**
     * A look at the node: the calls whose answers are [open], and those that placement [owned]
     * somewhat later and will end by their deadlines.
     */
    public data class Looked(val open: PersistentSet<CallKey>, val owned: PersistentSet<CallKey>) :
        ExchangeWatchEvent()
}
