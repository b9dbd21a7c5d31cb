package org.bilberrycart.store

import kotlinx.collections.immutable.PersistentList

/** What came back from one exchange with the platform. */
public sealed class StoreReply {
    /** A transaction ended; one result for each group, in order. */
    public data class Groups(val results: PersistentList<StoreResult>) : StoreReply()

    /** A read or a scan ended. */
    public data class Read(val result: StoreResult) : StoreReply()

    /** The exchange failed; [mayHaveApplied] says whether the request may have been executed. */
    public data class Failed(val failure: StoreFailure, val mayHaveApplied: Boolean) :
        StoreReply()
}
