package org.bilberrycart.configuration

import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.platform.RowKey
import org.bilberrycart.platform.StoreReply
import org.bilberrycart.platform.StoreResult
import org.bilberrycart.platform.TableClient

/** Applies and reads configurations for an operator, who waits; not for use in a node's duties. */
public class ConfigurationPublisher(
    private val table: TableClient,
    private val pause: Duration = 300.milliseconds,
) {
    private val filter = ApplyFilter()

    /** Applies [document] if [base] is the newest version. */
    public fun apply(document: ConfigurationDocument, base: Long): ApplyOutcome =
        run(ApplyState(base, document), ApplyEvent.Begin)

    /** Returns the newest version, 0 if there is none; null if the store does not answer. */
    public fun head(): Long? = (read(ConfigurationStore.headKey) as? StoreResult.Found)
        ?.let { ConfigurationStore.decodeHead(it.row) }

    /** Returns the document of [version]; null if there is none or the store does not answer. */
    public fun document(version: Long): ConfigurationDocument? =
        (read(ConfigurationStore.documentKey(version)) as? StoreResult.Found)
            ?.row?.let(ConfigurationStore::decodeDocument)

    private tailrec fun run(state: ApplyState, event: ApplyEvent): ApplyOutcome {
        val step = filter.step(state, event, Duration.ZERO)
        val action = step.actions.single()
        if (action is ApplyAction.Finish) return action.outcome
        val result = carryOut(action)
        if (result is StoreResult.Unavailable) TimeUnit.NANOSECONDS.sleep(pause.inWholeNanoseconds)
        return run(step.state, ApplyEvent.StoreAnswered(result))
    }

    private fun carryOut(action: ApplyAction): StoreResult = when (action) {
        ApplyAction.ReadHead -> read(ConfigurationStore.headKey)
        is ApplyAction.ReadBack -> read(ConfigurationStore.documentKey(action.version))
        is ApplyAction.Publish -> publish(action)
        is ApplyAction.Finish -> error("nothing to carry out: $action")
    }

    private fun publish(action: ApplyAction.Publish): StoreResult {
        val group = ConfigurationStore.publication(action.document, action.head)
        val reply = await { table.transact(listOf(group), TIMEOUT, it) }
        return when (reply) {
            is StoreReply.Groups -> reply.results.single()
            is StoreReply.Read -> reply.result
            is StoreReply.Failed -> when {
                reply.mayHaveApplied -> StoreResult.UnknownOutcome(reply.failure)
                else -> StoreResult.Unavailable(reply.failure)
            }
        }
    }

    private fun read(key: RowKey): StoreResult =
        when (val reply = await { table.read(key, TIMEOUT, it) }) {
            is StoreReply.Groups -> reply.results.single()
            is StoreReply.Read -> reply.result
            is StoreReply.Failed -> StoreResult.Unavailable(reply.failure)
        }

    private fun await(send: ((StoreReply) -> Unit) -> Unit): StoreReply {
        val reply = CompletableFuture<StoreReply>()
        send { reply.complete(it) }
        return reply.get()
    }

    private companion object {
        val TIMEOUT = 2.seconds
    }
}
