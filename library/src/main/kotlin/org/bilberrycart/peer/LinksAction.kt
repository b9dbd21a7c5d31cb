package org.bilberrycart.peer

import org.bilberrycart.membership.Member
import org.bilberrycart.membership.PeerAddress

/** An output of [LinksFilter]. */
public sealed class LinksAction {
    /** Open a connection to [address]. */
    public data class Dial(val address: PeerAddress) : LinksAction()

    /** Queue [message] on [link]. */
    public data class Write(val link: PeerLink, val message: PeerMessage) : LinksAction()

    /** Notify the node that a link to [member] was established. */
    public data class NotifyConnected(val member: Member) : LinksAction()

    /** Count [messages] messages that could not be sent. */
    public data class CountUnsent(val messages: Int) : LinksAction()
}
