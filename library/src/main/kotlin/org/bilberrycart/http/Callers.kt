package org.bilberrycart.http

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.release.CallerId

/**
 * The callers connected to this node, each with an outbox for the parts of its answer.
 *
 * @param outboxParts the largest credit of a caller, in parts; an outbox has room for one more.
 */
public class Callers(private val outboxParts: Int) {
    private val ids = AtomicLong()
    private val outboxes = ConcurrentHashMap<CallerId, Ring<AnswerPart>>()

    /** The number of connected callers. */
    public val size: Int
        get() = outboxes.size

    /** Adds a new caller with an empty outbox. */
    public fun open(): Caller {
        val id = CallerId(ids.incrementAndGet())
        val outbox = Ring<AnswerPart>("outbox", capacity = outboxParts + 1)
        outboxes[id] = outbox
        return Caller(id, outbox)
    }

    /**
     * Puts [part] into the outbox of [caller], whose credit ensures that there is room.
     *
     * Returns false if the caller is no longer connected or its outbox is full.
     */
    public fun deliver(caller: CallerId, part: AnswerPart): Boolean =
        outboxes[caller]?.offer(part) ?: false

    /** Removes [caller], which has disconnected, and closes its outbox. */
    public fun close(caller: CallerId) {
        outboxes.remove(caller)?.close()
    }

    /** A connected caller and the [outbox] from which its answer is read. */
    public class Caller(public val id: CallerId, public val outbox: Ring<AnswerPart>)
}
