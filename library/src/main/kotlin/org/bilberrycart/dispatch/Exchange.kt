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

/**
 * One HTTP exchange with an upstream.
 *
 * The callbacks run on threads of the HTTP client. After [abort], nothing more is passed to
 * [output].
 */
internal sealed class Exchange(
    val attempt: AttemptId,
    val request: Request,
    val upstream: Upstream,
    private val http: HttpRequest,
    private val output: UpstreamOutput,
) {
    private val isEnded = AtomicBoolean()

    @Volatile private var isAborted = false

    @Volatile private var mayHaveBeenSent = false

    /** Handles the status of the response. */
    protected abstract fun onStatus(status: Int)

    /** Handles the next bytes of the response body. */
    protected abstract fun onContent(bytes: ByteArray)

    /** Ends the exchange after the response was read completely. */
    protected abstract fun onEnd()

    /** Sends the request without waiting for the response. */
    fun start() {
        http.idleTimeout(0, TimeUnit.MILLISECONDS)
            .onRequestBegin { mayHaveBeenSent = true }
            .onResponseHeaders { response -> if (!isAborted) onStatus(response.status) }
            .onResponseContent { _, buffer -> if (!isAborted) onContent(buffer.toBytes()) }
            .send(::onComplete)
    }

    /** Closes the exchange; returns false if it had already ended. */
    fun abort(): Boolean {
        isAborted = true
        http.abort(ABORTED)
        return isEnded.compareAndSet(false, true)
    }

    /** Passes [event] to [output]; the exchange continues. */
    protected fun emit(event: UpstreamEvent) {
        if (!isAborted) output.eventArrived(request, upstream, event)
    }

    /** Passes [event], which ends the exchange, to [output]; later calls have no effect. */
    protected fun end(event: UpstreamEvent) {
        if (isEnded.compareAndSet(false, true)) output.eventArrived(request, upstream, event)
    }

    /** Ends the exchange as lost because of [cause]. */
    protected fun fail(cause: LossCause) {
        end(UpstreamEvent.Lost(attempt, cause, mayHaveBeenSent))
    }

    /** Reports to [output] that the exchange ended, unless it was aborted. */
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

    /** Ends the exchange after the connection failed. */
    protected open fun onFailure() {
        fail(LossCause.RESET)
    }

    private fun ByteBuffer.toBytes(): ByteArray = ByteArray(remaining()).also { get(it) }

    private companion object {
        /** A preallocated exception without a stack trace; aborting an exchange is not an error. */
        val ABORTED = object : Exception("the node closed the exchange") {
            override fun fillInStackTrace(): Throwable = this
        }
    }
}
