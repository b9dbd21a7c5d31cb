package org.bilberrycart.bench.generations

import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.VmId
import org.bilberrycart.replication.ReplicationEvent
import org.bilberrycart.takeover.TakeoverEvent

/** An event of a simulated run that is due at one point in time. */
sealed class SoakEvent {
    /** An event for one process; it is dropped if that process no longer runs. */
    sealed class NodeEvent : SoakEvent() {
        abstract val node: ProcessId
    }

    /** [event] reaches the replication filter of the node. */
    data class Replication(override val node: ProcessId, val event: ReplicationEvent) : NodeEvent()

    /** [event] reaches the takeover filter of the node. */
    data class Takeover(override val node: ProcessId, val event: TakeoverEvent) : NodeEvent()

    /** The membership of the node reports [record]. */
    data class MemberRecordArrived(override val node: ProcessId, val record: MemberRecord) :
        NodeEvent()

    /** The timers of the node fire. */
    data class Tick(override val node: ProcessId) : NodeEvent()

    /** The engine that generates [request] in [epoch] produces the next token or the end. */
    data class TokenDue(override val node: ProcessId, val request: RequestId, val epoch: Int) :
        NodeEvent()

    /** [part] reaches the caller of [request] on its connection with the number [connection]. */
    data class PartArrived(val request: RequestId, val connection: Long, val part: AnswerPart) :
        SoakEvent()

    /** The caller of [request] notices the loss of its connection with number [connection]. */
    data class ConnectionLost(val request: RequestId, val connection: Long) : SoakEvent()

    /** The caller of [request] connects to a random node, for the first time or again. */
    data class CallerConnects(val request: RequestId) : SoakEvent()

    /** A scripted fault begins on the nodes that have its role now. */
    data class ScriptedFaultBegins(val fault: ScriptedFault) : SoakEvent()

    /** [fault] begins. */
    data class FaultBegins(val fault: Fault) : SoakEvent()

    /** [fault] ends. */
    data class FaultEnds(val fault: Fault) : SoakEvent()
}

/** A process of a VM; each restart of a node increments [processNumber]. */
data class ProcessId(val vm: VmId, val processNumber: Int)
