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
 * Releases a token to its caller only when another node has a copy of it, as far as the
 * [ReplicationPolicy] requires, and transfers a generation to a new owner when its caller
 * reconnects at another node.
 *
 * Each agreement between an owner and a holder ([ReplicaKey]) ends in exactly one way: the owner
 * yields, the holder drops its replica, or, when the two cannot reach each other, the platform's
 * table keeps the first [Verdict]. So it cannot happen that an owner switches to another holder and
 * the old holder grants the generation to a new owner as well.
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
            is ReplicationEvent.Began -> OwnerSteps.began(state, event, now)
            is ReplicationEvent.Appended -> OwnerSteps.appended(state, event, now)
            is ReplicationEvent.Completed -> OwnerSteps.completed(state, event, now)
            is ReplicationEvent.Placed -> OwnerSteps.placed(state, event)
            is ReplicationEvent.Received -> receiveAll(state, event, now)
            is ReplicationEvent.MemberChanged -> memberChanged(state, event.record, now)
            is ReplicationEvent.Decided -> decided(state, event, now)
            is ReplicationEvent.DecisionFailed -> HolderSteps.decisionFailed(state, event.key)
            ReplicationEvent.HandOver -> OwnerSteps.handOver(state, now)
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
        is ReplicationMessage.Store -> HolderSteps.store(state, from, message, now)
        is ReplicationMessage.Append -> HolderSteps.append(state, from, message, now)
        is ReplicationMessage.Acknowledge -> OwnerSteps.acknowledged(state, message, now)
        is ReplicationMessage.Missing -> OwnerSteps.missing(state, message.key, now)
        is ReplicationMessage.Fence -> OwnerSteps.fenced(state, message.key, now)
        is ReplicationMessage.Drop -> HolderSteps.drop(state, from, message.key, now)
        is ReplicationMessage.Dropped -> HolderSelection.dropped(state, message.key, now)
        is ReplicationMessage.Yield -> OwnerSteps.yieldTo(state, from, message.key, now)
        is ReplicationMessage.Yielded -> ClaimSteps.yielded(state, message.key, now)
        is ReplicationMessage.Superseded -> ClaimSteps.superseded(state, message.key, null, now)
        is ReplicationMessage.Find -> ClaimSteps.find(state, from, message)
        is ReplicationMessage.Claim -> ClaimSteps.claim(state, from, message, now)
        is ReplicationMessage.Granted -> OwnerSteps.granted(state, from, message, now)
    }

    private fun memberChanged(
        state: ReplicationState,
        record: MemberRecord,
        now: Duration,
    ): ReplicationStep {
        val next = state.copy(members = state.members.put(record.member.vm, record))
        return HolderSelection.memberChanged(next, record, now)
    }

    private fun decided(
        state: ReplicationState,
        event: ReplicationEvent.Decided,
        now: Duration,
    ): ReplicationStep = HolderSelection.decided(state, event, now)
        .then { ClaimSteps.decided(it, event, now) }

    private fun tick(state: ReplicationState, now: Duration): ReplicationStep =
        OwnerSteps.flush(state, now).then { flushed ->
            if (now < flushed.nextSweep) {
                Step(flushed)
            } else {
                Sweep.run(flushed.copy(nextSweep = now + state.settings.sweepPeriod), now)
            }
        }

    /** Merges the messages to each member into one frame, in order. */
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
