package org.bilberrycart.membership

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.membership.MembershipAction.Greet
import org.bilberrycart.membership.MembershipAction.Send
import org.bilberrycart.membership.MembershipMessage.Ack
import org.bilberrycart.membership.MembershipMessage.Join
import org.bilberrycart.membership.MembershipMessage.Members
import org.bilberrycart.membership.MembershipMessage.Ping
import org.bilberrycart.membership.MembershipMessage.PingRequest
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions

private typealias MembershipStep = Step<MembershipState, MembershipAction>

/**
 * Finds out which nodes live, in the manner of SWIM.
 *
 * Each node probes one random member per interval, asks others to probe one that does not answer,
 * suspects it, and declares it dead unless it refutes with a higher incarnation. Claims ride on
 * these messages, so that the cost of a node does not depend on the size of the fleet.
 */
public class MembershipFilter : Filter<MembershipState, MembershipEvent, MembershipAction> {
    override fun step(
        state: MembershipState,
        event: MembershipEvent,
        now: Duration,
    ): MembershipStep = when (event) {
        is MembershipEvent.Received -> receive(state, event, now)
        is MembershipEvent.Met -> meet(state, event.member, now)
        is MembershipEvent.Discovered -> Step(
            state.copy(
                firstAddresses = state.firstAddresses.addAll(
                    event.addresses.filter { it != state.self.peerAddress },
                ),
            ),
        )
        MembershipEvent.Leave -> leave(state)
        MembershipEvent.Left -> depart(state)
        MembershipEvent.Tick -> tick(state, now)
    }

    private fun receive(
        state: MembershipState,
        event: MembershipEvent.Received,
        now: Duration,
    ): MembershipStep {
        val from = event.from
        val message = event.message
        return applyAll(state, message.updates, now).then { known ->
            when (message) {
                is Ping -> heard(known, from, message.incarnation, now)
                    .then { answer(it, from, message.sequence) }
                is Ack -> heard(known, from, message.incarnation, now)
                    .then { acknowledged(it, message.sequence) }
                is PingRequest -> relay(known, from, message, now)
                is Join -> Step(known, pages(known, from).toPersistentList())
                is Members -> Step(known)
            }
        }
    }

    /** Takes a direct message of [from] as a claim that it lives. */
    private fun heard(state: MembershipState, from: Member, incarnation: Long, now: Duration) =
        when (val known = state.records[from.vm]) {
            null -> apply(state, MemberRecord(from, incarnation), now)
            else -> apply(state, MemberRecord(from, incarnation, leaving = known.leaving), now)
        }

    private fun answer(state: MembershipState, from: Member, sequence: Long): MembershipStep =
        carry(state, from) { updates -> Ack(sequence, state.incarnation, updates) }

    private fun acknowledged(state: MembershipState, sequence: Long): MembershipStep {
        val relay = state.relays[sequence]
        val next = state.copy(
            probes = state.probes.remove(sequence),
            relays = state.relays.remove(sequence),
        )
        if (relay == null) return Step(next)
        return carry(next, relay.origin) { Ack(relay.sequence, next.incarnation, it) }
    }

    private fun relay(
        state: MembershipState,
        from: Member,
        request: PingRequest,
        now: Duration,
    ): MembershipStep {
        val target = state.records[request.target] ?: return Step(state)
        val sequence = state.sequence + 1
        val relay = MembershipState.Relay(from, request.sequence, now)
        val next = state.copy(sequence = sequence, relays = state.relays.put(sequence, relay))
        return carry(next, target.member) { Ping(sequence, next.incarnation, it) }
    }

    private fun pages(state: MembershipState, to: Member): List<MembershipAction> =
        (state.records.values + state.ownRecord).chunked(PAGE_SIZE).map { Send(to, Members(it)) }

    private fun meet(state: MembershipState, member: Member, now: Duration): MembershipStep {
        if (member.vm == state.self.vm) return Step(state)
        val known = state.records[member.vm]
        if (known != null && known.isReachable) return Step(state)
        val met = if (known == null) {
            apply(state, MemberRecord(member, incarnation = 0), now)
        } else {
            Step(state)
        }
        return met.then { next ->
            next.withActions(Send(member, Join(listOfNotNull(next.ownRecord, known))))
        }
    }

    private fun leave(state: MembershipState): MembershipStep {
        if (state.leaving) return Step(state)
        return Step(spreadSelf(state.copy(leaving = true, incarnation = state.incarnation + 1)))
    }

    private fun depart(state: MembershipState): MembershipStep {
        val next = spreadSelf(state.copy(left = true, incarnation = state.incarnation + 1))
        val drawn = SeededRandom.sample(state.seed, state.reachable(), FAREWELLS)
        val message = Members(listOf(next.ownRecord))
        return Step(
            next.copy(seed = drawn.seed),
            drawn.value.map { Send(it.member, message) }.toPersistentList(),
        )
    }

    private fun tick(state: MembershipState, now: Duration): MembershipStep {
        if (state.left) return Step(state)
        val gap = now - (state.lastTick ?: now)
        val woken = if (gap > state.settings.pauseGap) afterPause(state, gap) else state
        return expireProbes(woken.copy(lastTick = now), now)
            .then { expireSuspects(it, now) }
            .then { probeNext(it, now) }
            .then { greet(it, now) }
    }

    /** After a pause of this node, silence says nothing about the others. */
    private fun afterPause(state: MembershipState, gap: Duration): MembershipState = state.copy(
        probes = state.probes.clear(),
        relays = state.relays.clear(),
        suspects = state.suspects.entries.fold(state.suspects) { map, (vm, until) ->
            map.put(vm, until + gap)
        },
        counts = state.counts.copy(pauses = state.counts.pauses + 1),
    )

    private fun probeNext(state: MembershipState, now: Duration): MembershipStep {
        if (now < state.nextProbe) return Step(state)
        val ready = nextRound(state.copy(nextProbe = now + state.settings.probeInterval))
        val target = ready.order.firstOrNull() ?: return Step(ready)
        val rest = ready.copy(order = ready.order.removeAt(0))
        val record = rest.records[target]
        if (record == null || !record.isReachable) {
            return probeNext(rest.copy(nextProbe = now), now)
        }
        val sequence = rest.sequence + 1
        val next = rest.copy(
            sequence = sequence,
            probes = rest.probes.put(sequence, MembershipState.Probe(target, now)),
            counts = rest.counts.copy(probes = rest.counts.probes + 1),
        )
        return carry(next, record.member) { Ping(sequence, next.incarnation, it) }
    }

    private fun nextRound(state: MembershipState): MembershipState {
        if (state.order.isNotEmpty()) return state
        val drawn = SeededRandom.shuffle(state.seed, state.reachable().map { it.member.vm })
        return state.copy(order = drawn.value.toPersistentList(), seed = drawn.seed)
    }

    private fun expireProbes(state: MembershipState, now: Duration): MembershipStep {
        val settings = state.settings
        val relayLimit = settings.probeTimeout + settings.indirectTimeout
        val relays = state.relays.filterValues { now - it.sentAt > relayLimit }.keys
        val start = Step<MembershipState, MembershipAction>(
            state.copy(relays = relays.fold(state.relays) { map, key -> map.remove(key) }),
        )
        return state.probes.entries.fold(start) { step, (sequence, probe) ->
            val age = now - probe.sentAt
            when {
                probe.indirect && age > relayLimit -> step.then { failed(it, sequence, probe, now) }
                !probe.indirect && age > settings.probeTimeout ->
                    step.then { askOthers(it, sequence, probe) }
                else -> step
            }
        }
    }

    private fun askOthers(
        state: MembershipState,
        sequence: Long,
        probe: MembershipState.Probe,
    ): MembershipStep {
        val others = state.reachable().filter { it.member.vm != probe.target }
        val drawn = SeededRandom.sample(state.seed, others, state.settings.indirectProbes)
        val start = state.copy(
            seed = drawn.seed,
            probes = state.probes.put(sequence, probe.copy(indirect = true)),
        )
        return drawn.value.fold(Step(start)) { step, helper ->
            step.then { next ->
                carry(next, helper.member) { PingRequest(sequence, probe.target, it) }
            }
        }
    }

    private fun failed(
        state: MembershipState,
        sequence: Long,
        probe: MembershipState.Probe,
        now: Duration,
    ): MembershipStep {
        val next = state.copy(probes = state.probes.remove(sequence))
        val record = next.records[probe.target] ?: return Step(next)
        if (record.status != MemberStatus.ALIVE) return Step(next)
        val counts = next.counts.copy(suspicions = next.counts.suspicions + 1)
        return apply(
            next.copy(counts = counts),
            record.copy(status = MemberStatus.SUSPECT),
            now,
        )
    }

    private fun expireSuspects(state: MembershipState, now: Duration): MembershipStep {
        val due = state.suspects.filterValues { it <= now }.keys
        return due.fold(Step(state)) { step, vm ->
            step.then { next ->
                val record = next.records.getValue(vm).copy(status = MemberStatus.DEAD)
                val counts = next.counts.copy(deaths = next.counts.deaths + 1)
                apply(next.copy(counts = counts), record, now)
            }
        }
    }

    /** Now and then tries an address that is not known as alive, so that partitions heal. */
    private fun greet(state: MembershipState, now: Duration): MembershipStep {
        if (now < state.nextGreet) return Step(state)
        val pruned = forgetDead(state, now)
        val live = pruned.reachable().map { it.member.peerAddress }.toSet()
        val dead = pruned.records.values.filter { it.status == MemberStatus.DEAD }
        val candidates = (pruned.firstAddresses + dead.map { it.member.peerAddress }) - live
        val next = pruned.copy(nextGreet = now + state.settings.greetInterval)
        if (candidates.isEmpty()) return Step(next)
        val drawn = SeededRandom.index(next.seed, candidates.size)
        return Step(
            next.copy(seed = drawn.seed),
            persistentListOf(Greet(candidates.elementAt(drawn.value))),
        )
    }

    private fun forgetDead(state: MembershipState, now: Duration): MembershipState {
        val due = state.deadSince.filterValues { now - it > state.settings.deadRetention }.keys
        return state.copy(
            records = due.fold(state.records) { map, vm -> map.remove(vm) },
            deadSince = due.fold(state.deadSince) { map, vm -> map.remove(vm) },
            spreading = due.fold(state.spreading) { map, vm -> map.remove(vm) },
        )
    }

    private companion object {
        const val PAGE_SIZE = 32
        const val FAREWELLS = 3
    }
}
