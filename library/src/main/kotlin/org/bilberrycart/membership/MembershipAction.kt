package org.bilberrycart.membership

/** An output of [MembershipFilter]. */
public sealed class MembershipAction {
    /** Send [message] to [to]; delivery is not guaranteed. */
    public data class Send(val to: Member, val message: MembershipMessage) : MembershipAction()

    /** Open a link to the node that listens at [address], whichever it is. */
    public data class Connect(val address: PeerAddress) : MembershipAction()

    /** The current record of another member changed to [record]. */
    public data class Changed(val record: MemberRecord) : MembershipAction()
}
