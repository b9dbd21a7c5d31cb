package org.bilberrycart.membership

import kotlin.math.ceil
import kotlin.math.log10
import kotlin.math.log2
import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then

/** Takes in each of [claims] that supersedes what is known. */
internal fun applyAll(
    state: MembershipState,
    claims: List<MemberRecord>,
    now: Duration,
): Step<MembershipState, MembershipAction> =
    claims.fold(Step(state)) { step, claim -> step.then { apply(it, claim, now) } }

/** Takes in [claim] if it supersedes what is known, and spreads it further. */
internal fun apply(
    state: MembershipState,
    claim: MemberRecord,
    now: Duration,
): Step<MembershipState, MembershipAction> {
    val vm = claim.member.vm
    if (vm == state.self.vm) return Step(refute(state, claim))
    val known = state.records[vm]
    if (known != null && !claim.supersedes(known)) return Step(state)
    val isDead = !claim.isReachable
    val next = state.copy(
        records = state.records.put(vm, claim),
        spreading = state.spreading.put(vm, MembershipState.Spread(claim)),
        suspects = when (claim.status) {
            MemberStatus.SUSPECT -> state.suspects.put(vm, now + suspicionTime(state))
            else -> state.suspects.remove(vm)
        },
        deadSince = if (isDead) state.deadSince.put(vm, now) else state.deadSince.remove(vm),
    )
    return Step(next, persistentListOf(MembershipAction.Changed(claim)))
}

/** Answers a claim about this node itself that is not true by a higher incarnation. */
private fun refute(state: MembershipState, claim: MemberRecord): MembershipState {
    val own = state.ownRecord
    if (state.left || claim == own || claim.incarnation < own.incarnation) return state
    val counts = state.counts.copy(refutations = state.counts.refutations + 1)
    return spreadSelf(state.copy(incarnation = claim.incarnation + 1, counts = counts))
}

/** Spreads this node's own claim anew. */
internal fun spreadSelf(state: MembershipState): MembershipState =
    state.copy(spreading = state.spreading.put(state.self.vm, Spread(state.ownRecord)))

/**
 * Sends [to] the message that [build] makes of the claims sent least often so far.
 *
 * A member believed to be suspect or dead is told so first, since only it can refute.
 */
internal fun carry(
    state: MembershipState,
    to: Member,
    build: (List<MemberRecord>) -> MembershipMessage,
): Step<MembershipState, MembershipAction> {
    val doubt = state.records[to.vm]?.takeIf { it.status != MemberStatus.ALIVE }
    val room = state.settings.updatesPerMessage - if (doubt == null) 0 else 1
    val chosen = state.spreading.entries.sortedBy { it.value.sent }.take(room)
    val limit = retransmissionLimit(state)
    val spreading = chosen.fold(state.spreading) { map, (vm, spread) ->
        val sent = spread.sent + 1
        if (sent >= limit) map.remove(vm) else map.put(vm, spread.copy(sent = sent))
    }
    val updates = listOfNotNull(doubt) + chosen.map { it.value.record }
    return Step(
        state.copy(spreading = spreading),
        persistentListOf(MembershipAction.Send(to, build(updates))),
    )
}

private fun retransmissionLimit(state: MembershipState): Int =
    state.settings.retransmissions * ceil(log2(state.liveCount + 1.0)).toInt()

private fun suspicionTime(state: MembershipState): Duration {
    val scale = maxOf(1.0, log10(state.liveCount.toDouble()))
    return state.settings.probeInterval * (state.settings.suspicionIntervals * scale)
}

private typealias Spread = MembershipState.Spread
