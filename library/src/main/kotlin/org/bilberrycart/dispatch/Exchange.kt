package org.bilberrycart.dispatch

import java.nio.ByteBuffer
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.Request
import org.bilberrycart.model.Upstream
import org.eclipse.jetty.client.Request as HttpRequest
import org.eclipse.jetty.client.Result

/** One HTTP exchange with an upstream; after [abort] it brings nothing more. */
internal sealed class Exchange(
    val attempt: AttemptId,
    val request: Request,
    val upstream: Upstream,
    private val http: HttpRequest,
    private val output: UpstreamOutput,
) {
    private val isEnded = AtomicBoolean()

    @Volatile private var isAborted = false

    @Volatile private var mayHaveSent = false

    /** Takes the status of the response. */
    protected abstract fun onStatus(status: Int)

    /** Takes bytes of the response. */
    protected abstract fun onContent(bytes: ByteArray)

    /** Ends the exchange normally; the response was read to its end. */
    protected abstract fun onEnd()

    fun start() {
        http.idleTimeout(0, TimeUnit.MILLISECONDS)
            .onRequestBegin { mayHaveSent = true }
            .onResponseHeaders { response -> if (!isAborted) onStatus(response.status) }
            .onResponseContent { _, buffer -> if (!isAborted) onContent(buffer.toBytes()) }
            .send(::onComplete)
    }

    /** Closes the exchange; returns whether it had not ended by itself before. */
    fun abort(): Boolean {
        isAborted = true
        http.abort(ABORTED)
        return isEnded.compareAndSet(false, true)
    }

    /** Hands on [event], after which the exchange goes on. */
    protected fun emit(event: UpstreamEvent) {
        if (!isAborted) output.event(request, upstream, event)
    }

    /** Hands on [event], which ends the exchange; only the first end counts. */
    protected fun end(event: UpstreamEvent) {
        if (isEnded.compareAndSet(false, true)) output.event(request, upstream, event)
    }

    protected fun lose(cause: LossCause) {
        end(UpstreamEvent.Lost(attempt, cause, mayHaveSent))
    }

    protected fun close() {
        if (!isAborted) output.closed(attempt)
    }

    private fun onComplete(result: Result) {
        when {
            isAborted -> Unit
            result.isFailed -> onFailure()
            else -> onEnd()
        }
    }

    /** Ends the exchange after a failure of the connection. */
    protected open fun onFailure() {
        lose(LossCause.RESET)
    }

    private fun ByteBuffer.toBytes(): ByteArray = ByteArray(remaining()).also { get(it) }

    private companion object {
        val ABORTED = object : Exception("the node closed the exchange") {
            override fun fillInStackTrace(): Throwable = this
        }
    }
}
