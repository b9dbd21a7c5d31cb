package org.bilberrycart.store

import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.http.contentAsUtf8
import org.eclipse.jetty.client.BufferingResponseListener
import org.eclipse.jetty.client.HttpClient
import org.eclipse.jetty.client.Request
import org.eclipse.jetty.client.Result
import org.eclipse.jetty.client.StringRequestContent
import org.eclipse.jetty.http.HttpMethod

/**
 * [TableClient] over HTTP.
 *
 * The response header [NO_EFFECT] means that a refused call had no effect. A transaction that fails
 * in any other way after its request was begun may have been applied.
 *
 * @property origin the scheme, address and port of the platform, such as `http://10.0.0.5:8080`.
 */
public class HttpTableClient(private val origin: String) : TableClient {
    private val client = HttpClient().apply {
        idleTimeout = MAX_IDLE.inWholeMilliseconds
        connectTimeout = CONNECT_TIMEOUT.inWholeMilliseconds
        maxConnectionsPerDestination = MAX_CONNECTIONS
        start()
    }

    override fun transact(
        groups: List<WriteGroup>,
        timeout: Duration,
        onReply: (StoreReply) -> Unit,
    ) {
        val content = StringRequestContent("application/json", TableMessages.encode(groups))
        val request = client.newRequest("$origin/v1/transact").method(HttpMethod.POST).body(content)
        send(request, timeout, onReply) { _, body -> TableMessages.decodeResults(body) }
    }

    override fun read(key: RowKey, timeout: Duration, onReply: (StoreReply) -> Unit): Unit =
        send(client.newRequest("$origin/v1/rows/$key"), timeout, onReply) { status, body ->
            when (status) {
                NOT_FOUND -> StoreReply.Read(StoreResult.Found(row = null))
                else -> TableMessages.decodeRow(body)
            }
        }

    override fun scan(
        table: String,
        prefix: String,
        timeout: Duration,
        onReply: (StoreReply) -> Unit,
    ) {
        val request = client.newRequest("$origin/v1/scan/$table").param("prefix", prefix)
        send(request, timeout, onReply) { _, body -> TableMessages.decodeRows(body) }
    }

    override fun close(): Unit = client.stop()

    private fun send(
        request: Request,
        timeout: Duration,
        onReply: (StoreReply) -> Unit,
        decode: (status: Int, body: String) -> StoreReply,
    ) {
        val isSent = AtomicBoolean()
        val listener = object : BufferingResponseListener(MAX_ANSWER_BYTES) {
            override fun onComplete(result: Result) =
                onReply(toReply(result, contentAsUtf8(), isSent.get(), decode))
        }
        request.timeout(timeout.inWholeMilliseconds.coerceAtLeast(1), TimeUnit.MILLISECONDS)
            .onRequestBegin { isSent.set(true) }
            .send(listener)
    }

    private fun toReply(
        result: Result,
        body: String,
        isSent: Boolean,
        decode: (status: Int, body: String) -> StoreReply,
    ): StoreReply {
        val failure = result.failure
        val status = result.response?.status ?: 0
        return when {
            failure is TimeoutException -> StoreReply.Failed(StoreFailure.TIMED_OUT, isSent)
            failure != null && !isSent -> StoreReply.Failed(StoreFailure.REFUSED, false)
            failure != null -> StoreReply.Failed(StoreFailure.BROKEN, true)
            status == OK || status == NOT_FOUND -> runCatching { decode(status, body) }
                .getOrElse { StoreReply.Failed(StoreFailure.BROKEN, true) }
            else -> StoreReply.Failed(
                failure = if (status == OVER_RATE) StoreFailure.OVER_RATE else StoreFailure.REFUSED,
                mayHaveApplied = result.response.headers[NO_EFFECT] == null,
            )
        }
    }

    /** The header names that the client and the table agree on. */
    public companion object {
        /** The response header of a refused call that had no effect. */
        public const val NO_EFFECT: String = "No-Effect"

        private const val OK = 200
        private const val NOT_FOUND = 404
        private const val OVER_RATE = 429
        private const val MAX_CONNECTIONS = 32
        private const val MAX_ANSWER_BYTES = 16 * 1024 * 1024
        private val MAX_IDLE = 10.seconds
        private val CONNECT_TIMEOUT = 1.seconds
    }
}
