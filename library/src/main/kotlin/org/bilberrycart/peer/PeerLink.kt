package org.bilberrycart.peer

import org.bilberrycart.membership.Member

/** An open link to an authenticated peer. */
public interface PeerLink {
    /** The member at the other end. */
    public val peer: Member

    /** Queues [message] without blocking; if the queue is full, closes the link, returns false. */
    public fun offer(message: PeerMessage): Boolean

    /** Closes the link; queued messages may be lost. */
    public fun close()
}
