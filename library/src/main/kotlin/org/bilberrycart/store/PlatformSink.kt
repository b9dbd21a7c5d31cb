package org.bilberrycart.store

import org.bilberrycart.pipeline.Ring
import org.bilberrycart.pipeline.Sink

/**
 * Carries out the actions of the platform duty: sends requests through [client] and puts the
 * replies into [ring], the ring of the duty.
 *
 * @property onResult passes a result to the user that its context belongs to.
 * @property onBreakerChanged is called when the circuit breaker opens or closes.
 */
public class PlatformSink(
    private val client: TableClient,
    private val ring: Ring<PlatformEvent>,
    private val onResult: (StoreContext, StoreResult) -> Unit,
    private val onBreakerChanged: (isOpen: Boolean) -> Unit = {},
) : Sink<PlatformAction> {
    override fun accept(action: PlatformAction) {
        when (action) {
            is PlatformAction.SendTransaction ->
                client.transact(action.groups, action.timeout) { reply(action.id, it) }
            is PlatformAction.SendRead -> send(action)
            is PlatformAction.Finish -> onResult(action.context, action.result)
            is PlatformAction.BreakerChanged -> onBreakerChanged(action.isOpen)
        }
    }

    private fun send(action: PlatformAction.SendRead) = when (val call = action.call) {
        is PlatformEvent.Read -> client.read(call.key, action.timeout) { reply(action.id, it) }
        is PlatformEvent.Scan ->
            client.scan(call.table, call.prefix, action.timeout) { reply(action.id, it) }
        is PlatformEvent.Write -> error("a write cannot be sent as a read: ${call.context}")
    }

    private fun reply(id: Long, reply: StoreReply) {
        ring.put(PlatformEvent.ExchangeEnded(id, reply))
    }
}
