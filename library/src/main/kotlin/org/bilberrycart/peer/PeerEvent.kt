package org.bilberrycart.peer

import org.bilberrycart.membership.Member

/** What the links tell the rest of the node. */
public sealed class PeerEvent {
    /** [message] came from [from]. */
    public data class Received(val from: Member, val message: PeerMessage) : PeerEvent()

    /** A link to [member] is up. */
    public data class Connected(val member: Member) : PeerEvent()
}
