package org.bilberrycart.gateway.watch

import kotlinx.collections.immutable.PersistentList
import org.bilberrycart.gateway.model.CallKey

/** The actions that the exchange watch requests. */
public sealed class ExchangeWatchAction {
    /** Answer the callers of [calls], which nothing else is going to answer. */
    public data class EndUnowned(val calls: PersistentList<CallKey>) : ExchangeWatchAction()
}
