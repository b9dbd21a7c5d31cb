package org.bilberrycart.bench.generations

import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.VmId
import org.bilberrycart.replication.ReplicationEvent
import org.bilberrycart.takeover.TakeoverEvent

/** What happens at one instant of a run. */
sealed class SoakEvent {
    /** An event for one process; lost if that process is gone. */
    sealed class OnNode : SoakEvent() {
        abstract val node: ProcessId
    }

    /** [event] reaches the replication filter. */
    data class Replication(override val node: ProcessId, val event: ReplicationEvent) : OnNode()

    /** [event] reaches the takeover filter. */
    data class Takeover(override val node: ProcessId, val event: TakeoverEvent) : OnNode()

    /** The node hears [record] of its membership. */
    data class Heard(override val node: ProcessId, val record: MemberRecord) : OnNode()

    /** The timers of the node fire. */
    data class Tick(override val node: ProcessId) : OnNode()

    /** The engine of the journal of [request] in [epoch] gives the next token. */
    data class TokenDue(override val node: ProcessId, val request: RequestId, val epoch: Int) :
        OnNode()

    /** [part] reaches the caller of [request] on its connection number [connection]. */
    data class Delivered(val request: RequestId, val connection: Long, val part: AnswerPart) :
        SoakEvent()

    /** The caller of [request] notices that its connection number [connection] is gone. */
    data class CallerCut(val request: RequestId, val connection: Long) : SoakEvent()

    /** The caller of [request] comes back to any node. */
    data class CallerBack(val request: RequestId) : SoakEvent()

    /** A scripted fault strikes whoever has the role now. */
    data class Scripted(val fault: ScriptedFault) : SoakEvent()

    /** A fault strikes. */
    data class Strike(val fault: Fault) : SoakEvent()

    /** The fault is over. */
    data class Mend(val fault: Fault) : SoakEvent()
}

/** One process of a VM; a restart makes another one. */
data class ProcessId(val vm: VmId, val run: Int)
