package org.bilberrycart.peer

import org.bilberrycart.membership.Member
import org.bilberrycart.membership.PeerAddress

/** What the link duty asks for. */
public sealed class LinksAction {
    /** Open a connection to [address]. */
    public data class Dial(val address: PeerAddress) : LinksAction()

    /** Queue [message] on [link]. */
    public data class Write(val link: PeerLink, val message: PeerMessage) : LinksAction()

    /** Tell the node that a link to [member] is up. */
    public data class Announce(val member: Member) : LinksAction()

    /** Count [messages] that could not be sent. */
    public data class CountUnsent(val messages: Int) : LinksAction()
}
