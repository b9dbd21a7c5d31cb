package org.bilberrycart.gateway.discovery

import kotlin.time.Duration

/**
 * The calls that discovery makes to the store.
 *
 * Each is answered on any thread. Discovery gives up a call that is not answered in time and
 * ignores a later answer.
 */
public interface StoreClient {
    /** Reads a page of [table], from key [from] or, if that is null, from the start. */
    public fun read(table: StoreTable, from: String?, reply: (TableReply) -> Unit)

    /** Waits up to [wait] for changes of [table] that are newer than [version]. */
    public fun follow(
        table: StoreTable,
        version: StoreVersion,
        wait: Duration,
        reply: (TableReply) -> Unit,
    )

    /** Makes later calls on new connections, since an open one may be silent. */
    public fun renewConnections() {}
}
