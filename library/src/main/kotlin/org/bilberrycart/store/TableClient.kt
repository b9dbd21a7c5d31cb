package org.bilberrycart.store

import kotlin.time.Duration

/**
 * The platform's transactional table, without waiting: each call returns at once and hands its
 * reply to a function, once, on a thread of the client.
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
