package org.bilberrycart.gateway.discovery

import kotlin.time.Duration

/** The calls that discovery makes to the store. Replies come on any thread, exactly once. */
public interface StoreClient {
    /** Reads a page of [table] that begins at key [from]. */
    public fun read(table: StoreTable, from: String?, reply: (StoreReply) -> Unit)

    /** Waits up to [wait] for changes of [table] after [version]. */
    public fun follow(table: StoreTable, version: Long, wait: Duration, reply: (StoreReply) -> Unit)
}
