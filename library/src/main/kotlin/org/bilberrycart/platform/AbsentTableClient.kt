package org.bilberrycart.platform

import kotlin.time.Duration

/** The table of a node without a platform: every call is refused, with no effect. */
public object AbsentTableClient : TableClient {
    override fun transact(
        groups: List<WriteGroup>,
        timeout: Duration,
        onReply: (StoreReply) -> Unit,
    ): Unit = refuse(onReply)

    override fun read(key: RowKey, timeout: Duration, onReply: (StoreReply) -> Unit): Unit =
        refuse(onReply)

    override fun scan(
        table: String,
        prefix: String,
        timeout: Duration,
        onReply: (StoreReply) -> Unit,
    ): Unit = refuse(onReply)

    override fun close(): Unit = Unit

    private fun refuse(onReply: (StoreReply) -> Unit) {
        onReply(StoreReply.Failed(StoreFailure.REFUSED, mayHaveApplied = false))
    }
}
