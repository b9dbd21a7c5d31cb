package org.bilberrycart.takeover

import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.model.EventId
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestId
import org.bilberrycart.release.CallerId
import org.bilberrycart.replication.ReplicationAction

/** What the takeover duty reacts to. */
public sealed class TakeoverEvent {
    /** [caller] came back to this node and has everything up to [after]; null for nothing. */
    public data class Reconnected(
        val caller: CallerId,
        val request: RequestId,
        val organisation: OrganisationId,
        val after: EventId?,
    ) : TakeoverEvent()

    /** The replication shard of [from], which may be this node, answered. */
    public data class Answered(val from: Member, val message: TakeoverMessage) : TakeoverEvent()

    /** A replication shard of this node took a generation over. */
    public data class Adopted(val adoption: ReplicationAction.Adopted) : TakeoverEvent()

    /** The claim in force about a member changed to [record]. */
    public data class MemberChanged(val record: MemberRecord) : TakeoverEvent()

    /** Time has passed. */
    public data object Tick : TakeoverEvent()
}
