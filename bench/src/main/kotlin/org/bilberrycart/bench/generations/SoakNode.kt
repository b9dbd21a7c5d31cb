package org.bilberrycart.bench.generations

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.membership.Member
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.EventId
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.Token
import org.bilberrycart.replication.ReplicationState
import org.bilberrycart.takeover.TakeoverState

/** One process: the real decisions, and fakes of the journal and the release filter. */
data class SoakNode(
    val id: ProcessId,
    val member: Member,
    val replication: ReplicationState,
    val takeover: TakeoverState,
    val journals: PersistentMap<RequestId, Journal> = persistentHashMapOf(),
    val outlets: PersistentMap<RequestId, Outlet> = persistentHashMapOf(),
    val isAlive: Boolean = true,
    val isPaused: Boolean = false,
) {
    /** The journal of an owned generation; [size] tokens are in it. */
    data class Journal(val generation: GenerationRequest, val epoch: Int, val size: Int)

    /** What was released of one generation, and the connections that want it. */
    data class Outlet(
        val released: PersistentList<Released> = persistentListOf(),
        val end: AnswerPart? = null,
        val readers: PersistentMap<Long, Int> = persistentHashMapOf(),
    )

    /** One released token. */
    data class Released(val epoch: Int, val token: Token)
}

/** The caller of one generation; [connection] is its number of the current connection. */
data class SoakCaller(
    val request: RequestId,
    val connection: Long = 0,
    val node: ProcessId? = null,
    val last: EventId? = null,
    val texts: PersistentList<String> = persistentListOf(),
    val end: AnswerPart? = null,
)
