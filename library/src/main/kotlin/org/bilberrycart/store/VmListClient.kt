package org.bilberrycart.store

import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bilberrycart.http.contentAsUtf8
import org.eclipse.jetty.client.BufferingResponseListener
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.Result

/** Reads the platform's list of live and leaving VMs over HTTP without blocking. */
public class VmListClient(private val origin: String) : AutoCloseable {
    private val json = Json { ignoreUnknownKeys = true }
    private val client = HttpClient().apply {
        connectTimeout = CONNECT_TIMEOUT.inWholeMilliseconds
        start()
    }

    /** Reads the list; calls [onReply] exactly once, on a thread of the client. */
    public fun read(timeout: Duration, onReply: (VmListReply) -> Unit) {
        val listener = object : BufferingResponseListener() {
            override fun onComplete(result: Result) = onReply(toReply(result, contentAsUtf8()))
        }
        client.newRequest("$origin/v1/vms")
            .timeout(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
            .send(listener)
    }

    override fun close(): Unit = client.stop()

    private fun toReply(result: Result, body: String): VmListReply = when {
        result.isFailed -> VmListReply.Failed(StoreFailure.BROKEN)
        result.response.status != OK -> VmListReply.Failed(StoreFailure.REFUSED)
        else -> runCatching { json.decodeFromString<ListMessage>(body) }.fold(
            onSuccess = { list -> VmListReply.Listed(list.vms.map(::toVm).toPersistentList()) },
            onFailure = { VmListReply.Failed(StoreFailure.BROKEN) },
        )
    }

    private fun toVm(message: VmMessage) = ListedVm(
        id = message.id,
        isNode = message.kind == "node",
        isLeaving = message.state == "leaving",
        address = message.address,
        port = message.port,
        dataCentre = message.dataCentre,
    )

    private companion object {
        const val OK = 200
        val CONNECT_TIMEOUT = 1.seconds
    }
}

@Serializable
private data class ListMessage(val vms: List<VmMessage>)

@Serializable
private data class VmMessage(
    val id: String,
    val kind: String,
    val state: String,
    val address: String = "",
    val port: Int = 0,
    val dataCentre: String = "",
)
