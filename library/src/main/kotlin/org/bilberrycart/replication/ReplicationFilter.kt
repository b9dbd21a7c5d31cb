package org.bilberrycart.replication

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then

internal typealias ReplicationStep = Step<ReplicationState, ReplicationAction>

/**
 * Lets a token go to its caller only when another node holds a copy of it, and gives a generation
 * to a new owner when a caller comes back elsewhere.
 *
 * For each agreement between an owner and a holder ([ReplicaKey]) exactly one thing can end it: the
 * owner yields, the holder drops its replica, or, when the two cannot reach each other, the first
 * [Verdict] in the platform's table. So an owner that moved on and a holder that gave the
 * generation away can never both go on.
 */
public class ReplicationFilter : Filter<ReplicationState, ReplicationEvent, ReplicationAction> {
    override fun step(
        state: ReplicationState,
        event: ReplicationEvent,
        now: Duration,
    ): ReplicationStep {
        val step = decide(state, event, now)
        return step.copy(actions = mergeSends(step.actions))
    }

    private fun decide(state: ReplicationState, event: ReplicationEvent, now: Duration) =
        when (event) {
            is ReplicationEvent.Began -> OwnerSide.began(state, event, now)
            is ReplicationEvent.Appended -> OwnerSide.appended(state, event, now)
            is ReplicationEvent.Completed -> OwnerSide.completed(state, event, now)
            is ReplicationEvent.Placed -> OwnerSide.placed(state, event)
            is ReplicationEvent.Received -> receiveAll(state, event, now)
            is ReplicationEvent.MemberChanged -> memberChanged(state, event.record, now)
            is ReplicationEvent.Decided -> decided(state, event, now)
            is ReplicationEvent.DecisionFailed -> HolderSide.decisionFailed(state, event.key)
            ReplicationEvent.HandOver -> OwnerSide.handOver(state, now)
            ReplicationEvent.Tick -> tick(state, now)
        }

    private fun receiveAll(
        state: ReplicationState,
        event: ReplicationEvent.Received,
        now: Duration,
    ): ReplicationStep {
        val start: ReplicationStep = Step(state)
        return event.messages.fold(start) { step, message ->
            step.then { receive(it, event.from, message, now) }
        }
    }

    private fun receive(
        state: ReplicationState,
        from: Member,
        message: ReplicationMessage,
        now: Duration,
    ): ReplicationStep = when (message) {
        is ReplicationMessage.Store -> HolderSide.store(state, from, message, now)
        is ReplicationMessage.Append -> HolderSide.append(state, from, message, now)
        is ReplicationMessage.Acknowledge -> OwnerSide.acknowledged(state, message, now)
        is ReplicationMessage.Missing -> OwnerSide.missing(state, message.key, now)
        is ReplicationMessage.Fence -> OwnerSide.fenced(state, message.key, now)
        is ReplicationMessage.Drop -> HolderSide.drop(state, from, message.key, now)
        is ReplicationMessage.Dropped -> HolderChoice.dropped(state, message.key, now)
        is ReplicationMessage.Yield -> OwnerSide.yieldTo(state, from, message.key, now)
        is ReplicationMessage.Yielded -> ClaimSide.yielded(state, message.key, now)
        is ReplicationMessage.Superseded -> ClaimSide.superseded(state, message.key, null, now)
        is ReplicationMessage.Find -> ClaimSide.find(state, from, message)
        is ReplicationMessage.Claim -> ClaimSide.claim(state, from, message, now)
        is ReplicationMessage.Granted -> OwnerSide.granted(state, from, message, now)
    }

    private fun memberChanged(
        state: ReplicationState,
        record: MemberRecord,
        now: Duration,
    ): ReplicationStep {
        val next = state.copy(members = state.members.put(record.member.vm, record))
        return HolderChoice.memberChanged(next, record, now)
    }

    private fun decided(
        state: ReplicationState,
        event: ReplicationEvent.Decided,
        now: Duration,
    ): ReplicationStep = HolderChoice.decided(state, event, now)
        .then { ClaimSide.decided(it, event, now) }

    private fun tick(state: ReplicationState, now: Duration): ReplicationStep =
        OwnerSide.flush(state, now).then { flushed ->
            if (now < flushed.nextSweep) {
                Step(flushed)
            } else {
                Sweep.run(flushed.copy(nextSweep = now + state.settings.sweepPeriod), now)
            }
        }

    /** Puts what goes to one member into one frame, in order. */
    private fun mergeSends(
        actions: PersistentList<ReplicationAction>,
    ): PersistentList<ReplicationAction> {
        val sends = actions.filterIsInstance<ReplicationAction.Send>()
        if (sends.size <= 1) return actions
        val merged = sends.groupBy { it.to.vm }.values.map { group ->
            ReplicationAction.Send(group.first().to, group.flatMap { it.messages })
        }
        return (actions.filter { it !is ReplicationAction.Send } + merged).toPersistentList()
    }
}
