package org.bilberrycart.orders

import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bilberrycart.http.contentAsUtf8
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.Upstream
import org.eclipse.jetty.client.BufferingResponseListener
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.Request
import org.eclipse.jetty.client.Result
import org.eclipse.jetty.client.StringRequestContent
import org.eclipse.jetty.http.HttpMethod

/** Sends orders to upstreams over HTTP without blocking, and reports the results as events. */
public class OrderClient(private val onEvent: (OrdersEvent) -> Unit) : AutoCloseable {
    private val client = HttpClient().apply {
        idleTimeout = MAX_IDLE.inWholeMilliseconds
        connectTimeout = STATE_TIMEOUT.inWholeMilliseconds
        start()
    }
    private val json = Json { ignoreUnknownKeys = true }

    /** Requests the state of [upstream]. */
    public fun readState(upstream: Upstream): Unit =
        send(client.newRequest("${originOf(upstream)}/v1/state"), STATE_TIMEOUT) { status, body ->
            when (status) {
                OK -> OrdersEvent.StateRead(
                    upstream.id,
                    json.decodeFromString<StateMessage>(body).toObserved(),
                )
                else -> OrdersEvent.StateReadFailed(upstream.id)
            }
        }

    /** Sends the order of [action]. */
    public fun send(action: OrdersAction.Send) {
        val upstream = action.upstream
        val message = OrderEnvelope(action.fencing, toMessage(action.order))
        val content = StringRequestContent("application/json", json.encodeToString(message))
        val request = client.newRequest("${originOf(upstream)}/v1/orders")
            .method(HttpMethod.POST)
            .body(content)
        send(request, action.timeout) { status, body ->
            when (status) {
                OK -> OrdersEvent.OrderDone(upstream.id)
                CONFLICT -> OrdersEvent.OrderRefused(
                    upstream.id,
                    json.decodeFromString<RefusalMessage>(body).fencing,
                )
                else -> OrdersEvent.OrderFailed(upstream.id)
            }
        }
    }

    override fun close(): Unit = client.stop()

    private fun send(
        request: Request,
        timeout: Duration,
        toEvent: (status: Int, body: String) -> OrdersEvent,
    ) {
        val listener = object : BufferingResponseListener() {
            override fun onComplete(result: Result) {
                val status = if (result.isFailed) 0 else result.response.status
                onEvent(
                    runCatching { toEvent(status, contentAsUtf8()) }
                        .getOrElse { toEvent(0, "") },
                )
            }
        }
        request.timeout(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS).send(listener)
    }

    private fun originOf(upstream: Upstream): String = "http://${upstream.address}:${upstream.port}"

    private fun toMessage(order: EngineOrder): OrderMessage = when (order) {
        is EngineOrder.Load ->
            OrderMessage.Load(order.model.model, order.model.adapter, order.model.version)
        is EngineOrder.Drain -> OrderMessage.Drain(order.isDraining)
        is EngineOrder.Role -> OrderMessage.Role(order.role)
    }

    private companion object {
        const val OK = 200
        const val CONFLICT = 409
        val STATE_TIMEOUT = 2.seconds
        val MAX_IDLE = 10.seconds
    }
}

@Serializable
private data class OrderEnvelope(val fencing: Long, val order: OrderMessage)

@Serializable
private sealed class OrderMessage {
    @Serializable
    @SerialName("load")
    data class Load(val model: String, val adapter: String, val version: String) : OrderMessage()

    @Serializable
    @SerialName("drain")
    data class Drain(val draining: Boolean) : OrderMessage()

    @Serializable
    @SerialName("role")
    data class Role(val role: String) : OrderMessage()
}

@Serializable
private data class RefusalMessage(val fencing: Long)

@Serializable
private data class StateMessage(
    val incarnation: Long,
    val draining: Boolean,
    val role: String = "",
    val fencing: Long = 0,
    val models: List<ModelRef> = emptyList(),
    val running: Int = 0,
    val queued: Int = 0,
) {
    fun toObserved() = ObservedEngine(
        incarnation = incarnation,
        isDraining = draining,
        role = role,
        models = models.toPersistentSet(),
        running = running + queued,
        fencing = fencing,
    )
}
