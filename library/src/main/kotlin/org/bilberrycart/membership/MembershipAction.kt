package org.bilberrycart.membership

/** What the membership duty asks for. */
public sealed class MembershipAction {
    /** Send [message] to [to]; it may be lost. */
    public data class Send(val to: Member, val message: MembershipMessage) : MembershipAction()

    /** Open a link to whatever node listens at [address]. */
    public data class Greet(val address: PeerAddress) : MembershipAction()

    /** The claim in force about another member changed to [record]. */
    public data class Changed(val record: MemberRecord) : MembershipAction()
}
