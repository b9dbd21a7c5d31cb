package org.bilberrycart.replication

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

    /** Time has passed. */
    public data object Tick : ReplicationEvent()
}
