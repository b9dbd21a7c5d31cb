package org.bilberrycart.replication

import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.Token

/** What a replication shard reacts to. */
public sealed class ReplicationEvent {
    /** This node owns [generation] in [epoch]. */
    public data class Began(val generation: GenerationRequest, val epoch: Int) : ReplicationEvent()

    /** The journal accepted [token]; it may be released once a replica holder has it. */
    public data class Appended(val request: RequestId, val epoch: Int, val token: Token) :
        ReplicationEvent()

    /** The generation is over; [end] is released after its last token. */
    public data class Completed(val request: RequestId, val epoch: Int, val end: AnswerPart) :
        ReplicationEvent()

    /** The current attempt of an owned generation runs at [place]. */
    public data class Placed(val request: RequestId, val place: AttemptPlace) : ReplicationEvent()

    /** The shard of [from] for the same requests sent [messages]. */
    public data class Received(val from: Member, val messages: List<ReplicationMessage>) :
        ReplicationEvent()

    /** The claim in force about a member changed to [record]. */
    public data class MemberChanged(val record: MemberRecord) : ReplicationEvent()

    /** [verdict] is the one that the table keeps for [key]; written now or before. */
    public data class Decided(val key: ReplicaKey, val verdict: Verdict) : ReplicationEvent()

    /** The table did not answer for [key]; a verdict may have been written. */
    public data class DecisionFailed(val key: ReplicaKey) : ReplicationEvent()

    /** The node leaves: other nodes are to take over what it still owns. */
    public data object HandOver : ReplicationEvent()

    /** Time has passed; wanted every [ReplicationSettings.flushDelay]. */
    public data object Tick : ReplicationEvent()
}
