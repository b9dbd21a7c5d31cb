package org.bilberrycart.http

import kotlin.time.Duration
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.RequestId

/**
 * Takes the parts of one answer from the outbox of a caller and grants new credit for them.
 *
 * Closing it disconnects the caller from the request.
 */
internal class AnswerReader(
    private val request: RequestId,
    private val caller: Callers.Caller,
    private val callers: Callers,
    private val frontEnd: FrontEnd,
) : AutoCloseable {
    private var isComplete = false

    /** Waits up to [wait] for parts; returns an empty list if none arrived. */
    fun take(wait: Duration): List<AnswerPart> {
        val parts = caller.outbox.takeAll(wait = wait)
        isComplete = isComplete || parts.any(AnswerPart::isLast)
        if (parts.isNotEmpty() && !isComplete) frontEnd.credit(request, caller.id, parts.size)
        return parts
    }

    override fun close() {
        callers.close(caller.id)
        frontEnd.disconnect(request, caller.id)
    }
}
