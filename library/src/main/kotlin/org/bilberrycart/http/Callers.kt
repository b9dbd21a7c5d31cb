package org.bilberrycart.http

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.release.CallerId

/** The open connections of callers on this node and the outbox of each. */
public class Callers(private val outboxParts: Int) {
    private val ids = AtomicLong()
    private val outboxes = ConcurrentHashMap<CallerId, Ring<AnswerPart>>()

    /** The number of callers connected now. */
    public val size: Int
        get() = outboxes.size

    /** Makes the outbox of a new caller. */
    public fun open(): Caller {
        val id = CallerId(ids.incrementAndGet())
        val outbox = Ring<AnswerPart>("outbox", capacity = outboxParts + 1)
        outboxes[id] = outbox
        return Caller(id, outbox)
    }

    /** Puts [part] into the outbox of [caller]; its credit makes sure that there is room. */
    public fun deliver(caller: CallerId, part: AnswerPart): Boolean =
        outboxes[caller]?.offer(part) ?: false

    /** Forgets [caller], which is gone. */
    public fun close(caller: CallerId) {
        outboxes.remove(caller)?.close()
    }

    /** A caller and its [outbox]. */
    public class Caller(public val id: CallerId, public val outbox: Ring<AnswerPart>)
}
