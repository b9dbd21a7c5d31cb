package org.bilberrycart.store

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList

/** What the platform duty asks for. */
public sealed class PlatformAction {
    /** Send [groups] as one transaction. */
    public data class SendTransaction(
        val id: Long,
        val groups: PersistentList<WriteGroup>,
        val timeout: Duration,
    ) : PlatformAction()

    /** Send the read or scan [call]. */
    public data class SendRead(val id: Long, val call: PlatformEvent.Call, val timeout: Duration) :
        PlatformAction()

    /** Hand [result] to the user that gave [context]. */
    public data class Finish(val context: StoreContext, val result: StoreResult) :
        PlatformAction()

    /** The circuit breaker changed; [isOpen] says whether calls are refused. */
    public data class BreakerChanged(val isOpen: Boolean) : PlatformAction()
}
