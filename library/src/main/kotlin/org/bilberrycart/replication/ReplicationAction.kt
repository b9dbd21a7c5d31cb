package org.bilberrycart.replication

import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.Token

/** What a replication shard asks for. */
public sealed class ReplicationAction {
    /** [tokens] may go to the caller. */
    public data class Release(val request: RequestId, val epoch: Int, val tokens: List<Token>) :
        ReplicationAction()

    /** All tokens are released; [end] may go to the caller. */
    public data class ReleaseEnd(val request: RequestId, val epoch: Int, val end: AnswerPart) :
        ReplicationAction()
}
