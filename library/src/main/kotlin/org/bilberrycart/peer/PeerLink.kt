package org.bilberrycart.peer

import org.bilberrycart.membership.Member

/** One open link to a peer that proved its identity. */
public interface PeerLink {
    /** The node at the other end. */
    public val peer: Member

    /** Queues [message] without waiting; a full queue closes the link and returns false. */
    public fun offer(message: PeerMessage): Boolean

    /** Ends the link; queued messages may be lost. */
    public fun close()
}
