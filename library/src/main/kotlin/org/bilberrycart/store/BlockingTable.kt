package org.bilberrycart.store

import java.util.concurrent.CompletableFuture
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Makes blocking calls to the platform's tables, for the commands of an operator.
 *
 * The threads of a node must not use it, because each call waits for its reply.
 */
public class BlockingTable(
    private val table: TableClient,
    private val timeout: Duration = 2.seconds,
) {
    /** Applies [group]. */
    public fun write(group: WriteGroup): StoreResult =
        when (val reply = await { table.transact(listOf(group), timeout, it) }) {
            is StoreReply.Groups -> reply.results.single()
            is StoreReply.Read -> reply.result
            is StoreReply.Failed -> when {
                reply.mayHaveApplied -> StoreResult.UnknownOutcome(reply.failure)
                else -> StoreResult.Unavailable(reply.failure)
            }
        }

    /** Reads the row of [key]. */
    public fun read(key: RowKey): StoreResult = resultOf(await { table.read(key, timeout, it) })

    /** Reads the rows of [table] whose names start with [prefix]. */
    public fun scan(table: String, prefix: String): StoreResult =
        resultOf(await { this.table.scan(table, prefix, timeout, it) })

    private fun resultOf(reply: StoreReply): StoreResult = when (reply) {
        is StoreReply.Groups -> reply.results.single()
        is StoreReply.Read -> reply.result
        is StoreReply.Failed -> StoreResult.Unavailable(reply.failure)
    }

    private fun await(send: ((StoreReply) -> Unit) -> Unit): StoreReply {
        val reply = CompletableFuture<StoreReply>()
        send { reply.complete(it) }
        return reply.get()
    }
}
