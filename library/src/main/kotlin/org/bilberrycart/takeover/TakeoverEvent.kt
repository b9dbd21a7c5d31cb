package org.bilberrycart.takeover

import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.model.EventId
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestId
import org.bilberrycart.release.CallerId
import org.bilberrycart.replication.ReplicationAction

/** An event that the takeover duty handles. */
public sealed class TakeoverEvent {
    /**
     * [caller] reconnected to this node and has every token up to [after]; null if it has none.
     */
    public data class Reconnected(
        val caller: CallerId,
        val request: RequestId,
        val organisation: OrganisationId,
        val after: EventId?,
    ) : TakeoverEvent()

    /** The replication shard of [from], which may be this node, replied with [message]. */
    public data class ReplyReceived(val from: Member, val message: TakeoverMessage) :
        TakeoverEvent()

    /** A replication shard of this node took over a generation. */
    public data class Adopted(val adoption: ReplicationAction.Adopted) : TakeoverEvent()

    /** The membership record of a member changed to [record]. */
    public data class MemberChanged(val record: MemberRecord) : TakeoverEvent()

    /** The periodic timer event. */
    public data object Tick : TakeoverEvent()
}
