package org.bilberrycart.store

import kotlin.time.Duration

/**
 * A non-blocking client of the platform's transactional tables. Each call returns at once and calls
 * its callback with the reply exactly once, on a thread of the client.
 */
public interface TableClient : AutoCloseable {
    /** Applies each of [groups] whose conditions hold, all in one transaction. */
    public fun transact(groups: List<WriteGroup>, timeout: Duration, onReply: (StoreReply) -> Unit)

    /** Reads the row of [key]. */
    public fun read(key: RowKey, timeout: Duration, onReply: (StoreReply) -> Unit)

    /** Reads the rows of [table] whose names start with [prefix]. */
    public fun scan(
        table: String,
        prefix: String,
        timeout: Duration,
        onReply: (StoreReply) -> Unit,
    )
}
