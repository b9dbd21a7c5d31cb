package org.bilberrycart.replication

import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.Token

/** An event that a replication shard handles. */
public sealed class ReplicationEvent {
    /** This node starts to own [generation] in [epoch]. */
    public data class Began(val generation: GenerationRequest, val epoch: Int) : ReplicationEvent()

    /** The journal accepted [token], which may be released once the holder has it. */
    public data class Appended(val request: RequestId, val epoch: Int, val token: Token) :
        ReplicationEvent()

    /** The generation ended; [end] is released after its last token. */
    public data class Completed(val request: RequestId, val epoch: Int, val end: AnswerPart) :
        ReplicationEvent()

    /** The current attempt of an owned generation runs at [place]. */
    public data class Placed(val request: RequestId, val place: AttemptPlace) : ReplicationEvent()

    /** The shard of [from] for the same requests sent [messages]. */
    public data class Received(val from: Member, val messages: List<ReplicationMessage>) :
        ReplicationEvent()

    /** What membership knows of a member changed to [record]. */
    public data class MemberChanged(val record: MemberRecord) : ReplicationEvent()

    /** The table has [verdict] for [key], written now or earlier. */
    public data class Decided(val key: ReplicaKey, val verdict: Verdict) : ReplicationEvent()

    /** The verdict for [key] is unknown because the table failed; one may have been written. */
    public data class DecisionFailed(val key: ReplicaKey) : ReplicationEvent()

    /** This node leaves, and other nodes are to take over the generations that it still owns. */
    public data object HandOver : ReplicationEvent()

    /** Periodic event that drives all time limits; due every [ReplicationSettings.flushDelay]. */
    public data object Tick : ReplicationEvent()
}
