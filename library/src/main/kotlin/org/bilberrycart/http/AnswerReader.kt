package org.bilberrycart.http

import kotlin.time.Duration
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.RequestId

/** Takes the parts of one answer from a caller's outbox and gives the credit back. */
internal class AnswerReader(
    private val request: RequestId,
    private val caller: Callers.Caller,
    private val callers: Callers,
    private val frontEnd: FrontEnd,
) : AutoCloseable {
    private var isOver = false

    /** Waits up to [wait] for parts; returns none if none came. */
    fun take(wait: Duration): List<AnswerPart> {
        val parts = caller.outbox.takeAll(wait = wait)
        isOver = isOver || parts.any(AnswerPart::isLast)
        if (parts.isNotEmpty() && !isOver) frontEnd.credit(request, caller.id, parts.size)
        return parts
    }

    override fun close() {
        callers.close(caller.id)
        frontEnd.disconnect(request, caller.id)
    }
}
