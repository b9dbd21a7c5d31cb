package org.bilberrycart.peer

import org.bilberrycart.membership.Member

/** An event on the links that concerns the rest of the node. */
public sealed class PeerEvent {
    /** [message] arrived from [from]. */
    public data class Received(val from: Member, val message: PeerMessage) : PeerEvent()

    /** A link to [member] was established. */
    public data class Connected(val member: Member) : PeerEvent()
}
