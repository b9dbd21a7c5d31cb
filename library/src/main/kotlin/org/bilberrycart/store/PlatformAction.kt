package org.bilberrycart.store

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList

/** An action that the platform duty requests. */
public sealed class PlatformAction {
    /** Send [groups] as the transaction [id]. */
    public data class SendTransaction(
        val id: Long,
        val groups: PersistentList<WriteGroup>,
        val timeout: Duration,
    ) : PlatformAction()

    /** Send the read or scan [call] as the request [id]. */
    public data class SendRead(val id: Long, val call: PlatformEvent.Call, val timeout: Duration) :
        PlatformAction()

    /** Return [result] to the user that made the call with [context]. */
    public data class Finish(val context: StoreContext, val result: StoreResult) :
        PlatformAction()

    /** Report that the circuit breaker opened, or closed if not [isOpen]. */
    public data class BreakerChanged(val isOpen: Boolean) : PlatformAction()
}
