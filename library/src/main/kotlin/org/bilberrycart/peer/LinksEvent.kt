package org.bilberrycart.peer

import org.bilberrycart.membership.Member
import org.bilberrycart.membership.PeerAddress

/** What the link duty reacts to. */
public sealed class LinksEvent {
    /** Send [message] to [to], over a new link if there is none. */
    public data class Send(val to: Member, val message: PeerMessage) : LinksEvent()

    /** Open a link to whatever node listens at [address]. */
    public data class Connect(val address: PeerAddress) : LinksEvent()

    /** [link] is up; [dialled] is the address if this node opened it. */
    public data class Opened(val link: PeerLink, val dialled: PeerAddress?) : LinksEvent()

    /** [link] has ended. */
    public data class Closed(val link: PeerLink) : LinksEvent()

    /** No link to [address] could be opened. */
    public data class DialFailed(val address: PeerAddress) : LinksEvent()
}
