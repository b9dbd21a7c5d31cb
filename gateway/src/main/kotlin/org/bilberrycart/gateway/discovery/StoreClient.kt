package org.bilberrycart.gateway.discovery

import kotlin.time.Duration

/** The calls that discovery makes to the store; each is answered exactly once, on any thread. */
public interface StoreClient {
    /** Reads a page of [table], from key [from] or, if that is null, from the start. */
    public fun read(table: StoreTable, from: String?, reply: (TableReply) -> Unit)

    /** Waits up to [wait] for changes of [table] that are newer than [version]. */
    public fun follow(table: StoreTable, version: Long, wait: Duration, reply: (TableReply) -> Unit)
}
