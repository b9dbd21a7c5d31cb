package org.bilberrycart.peer

import org.bilberrycart.membership.Member
import org.bilberrycart.membership.PeerAddress

/** An input of [LinksFilter]. */
public sealed class LinksEvent {
    /** Send [message] to [to]; opens a link if there is none. */
    public data class Send(val to: Member, val message: PeerMessage) : LinksEvent()

    /** Open a link to the node that listens at [address], whichever it is. */
    public data class Connect(val address: PeerAddress) : LinksEvent()

    /** [link] was established; [dialled] is its address if this node opened it, else null. */
    public data class Opened(val link: PeerLink, val dialled: PeerAddress?) : LinksEvent()

    /** [link] was closed. */
    public data class Closed(val link: PeerLink) : LinksEvent()

    /** No link to [address] could be opened. */
    public data class DialFailed(val address: PeerAddress) : LinksEvent()
}
