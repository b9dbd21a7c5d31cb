package org.bilberrycart.store

import org.bilberrycart.pipeline.Ring
import org.bilberrycart.pipeline.Sink

/**
 * Carries out the actions of the platform duty: sends through [client] and puts the replies back
 * into the [ring] of the duty.
 *
 * @property onResult hands a result to the ring of the user that its context names.
 * @property onBreaker is told of each change of the circuit breaker.
 */
public class PlatformSink(
    private val client: TableClient,
    private val ring: Ring<PlatformEvent>,
    private val onResult: (StoreContext, StoreResult) -> Unit,
    private val onBreaker: (isOpen: Boolean) -> Unit = {},
) : Sink<PlatformAction> {
    override fun accept(action: PlatformAction) {
        when (action) {
            is PlatformAction.SendTransaction ->
                client.transact(action.groups, action.timeout) { reply(action.id, it) }
            is PlatformAction.SendRead -> send(action)
            is PlatformAction.Finish -> onResult(action.context, action.result)
            is PlatformAction.BreakerChanged -> onBreaker(action.isOpen)
        }
    }

    private fun send(action: PlatformAction.SendRead) = when (val call = action.call) {
        is PlatformEvent.Read -> client.read(call.key, action.timeout) { reply(action.id, it) }
        is PlatformEvent.Scan ->
            client.scan(call.table, call.prefix, action.timeout) { reply(action.id, it) }
        is PlatformEvent.Write -> error("a write is not a read: ${call.context}")
    }

    private fun reply(id: Long, reply: StoreReply) {
        ring.put(PlatformEvent.Ended(id, reply))
    }
}
