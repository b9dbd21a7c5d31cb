package org.bilberrycart.store

import kotlinx.collections.immutable.PersistentList

/** The outcome of one request to the platform. */
public sealed class StoreReply {
    /** A transaction was processed; [results] has one result for each group, in order. */
    public data class Groups(val results: PersistentList<StoreResult>) : StoreReply()

    /** A read or a scan returned [result]. */
    public data class Read(val result: StoreResult) : StoreReply()

    /** The request failed; [mayHaveApplied] says whether the request may have been executed. */
    public data class Failed(val failure: StoreFailure, val mayHaveApplied: Boolean) :
        StoreReply()
}
