package org.bilberrycart.membership

import kotlin.math.ceil
import kotlin.math.log10
import kotlin.math.log2
import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then

/** Applies each of [records] that supersedes the known record of its member. */
internal fun applyRecords(
    state: MembershipState,
    records: List<MemberRecord>,
    now: Duration,
): Step<MembershipState, MembershipAction> =
    records.fold(Step(state)) { step, record -> step.then { applyRecord(it, record, now) } }

/** Applies [record] and queues it for dissemination if it supersedes the known record. */
internal fun applyRecord(
    state: MembershipState,
    record: MemberRecord,
    now: Duration,
): Step<MembershipState, MembershipAction> {
    val vm = record.member.vm
    if (vm == state.self.vm) return Step(refute(state, record))
    val known = state.records[vm]
    if (known != null && !record.supersedes(known)) return Step(state)
    val isDown = !record.isReachable
    val next = state.copy(
        records = state.records.put(vm, record),
        pendingUpdates = state.pendingUpdates.put(vm, MembershipState.PendingUpdate(record)),
        suspicionDeadlines = when (record.status) {
            MemberStatus.SUSPECT -> state.suspicionDeadlines.put(vm, now + suspicionTimeout(state))
            else -> state.suspicionDeadlines.remove(vm)
        },
        unreachableSince =
        if (isDown) state.unreachableSince.put(vm, now) else state.unreachableSince.remove(vm),
    )
    return Step(next, persistentListOf(MembershipAction.Changed(record)))
}

/** Refutes a wrong record of this node by publishing its own with a higher incarnation. */
private fun refute(state: MembershipState, record: MemberRecord): MembershipState {
    val own = state.ownRecord
    if (state.hasLeft || record == own || record.incarnation < own.incarnation) return state
    val counts = state.counts.copy(refutations = state.counts.refutations + 1)
    return spreadOwnRecord(state.copy(incarnation = record.incarnation + 1, counts = counts))
}

/** Queues this node's own record for dissemination, with its send count reset. */
internal fun spreadOwnRecord(state: MembershipState): MembershipState = state.copy(
    pendingUpdates = state.pendingUpdates.put(state.self.vm, PendingUpdate(state.ownRecord)),
)

/**
 * Sends [to] the message that [build] creates from the pending updates sent least often so far.
 *
 * If this node does not list the recipient as alive, the recipient's record comes first, because
 * only the recipient can refute it.
 */
internal fun sendWithUpdates(
    state: MembershipState,
    to: Member,
    build: (List<MemberRecord>) -> MembershipMessage,
): Step<MembershipState, MembershipAction> {
    val recipientRecord = state.records[to.vm]?.takeIf { it.status != MemberStatus.ALIVE }
    val capacity = state.settings.updatesPerMessage - if (recipientRecord == null) 0 else 1
    val chosen = state.pendingUpdates.entries.sortedBy { it.value.sendCount }.take(capacity)
    val limit = retransmissionLimit(state)
    val pendingUpdates = chosen.fold(state.pendingUpdates) { map, (vm, update) ->
        val sendCount = update.sendCount + 1
        if (sendCount >= limit) map.remove(vm) else map.put(vm, update.copy(sendCount = sendCount))
    }
    val updates = listOfNotNull(recipientRecord) + chosen.map { it.value.record }
    return Step(
        state.copy(pendingUpdates = pendingUpdates),
        persistentListOf(MembershipAction.Send(to, build(updates))),
    )
}

private fun retransmissionLimit(state: MembershipState): Int =
    state.settings.retransmissions * ceil(log2(state.liveCount + 1.0)).toInt()

private fun suspicionTimeout(state: MembershipState): Duration {
    val scale = maxOf(1.0, log10(state.liveCount.toDouble()))
    return state.settings.probeInterval * (state.settings.suspicionIntervals * scale)
}

private typealias PendingUpdate = MembershipState.PendingUpdate
