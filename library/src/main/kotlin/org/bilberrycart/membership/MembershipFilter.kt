package org.bilberrycart.membership

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.membership.MembershipAction.Connect
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
 * Detects which nodes are alive with the SWIM protocol.
 *
 * Each node probes one random member per interval. If the member does not answer, the node asks
 * others to probe it, then suspects it, and declares it dead unless it refutes the suspicion with a
 * higher incarnation. Record updates are piggybacked on these messages, so that the cost of a node
 * does not depend on the size of the fleet.
 */
public class MembershipFilter : Filter<MembershipState, MembershipEvent, MembershipAction> {
    override fun step(
        state: MembershipState,
        event: MembershipEvent,
        now: Duration,
    ): MembershipStep = when (event) {
        is MembershipEvent.Received -> receive(state, event, now)
        is MembershipEvent.Connected -> connected(state, event.member, now)
        is MembershipEvent.Discovered -> Step(
            state.copy(
                bootstrapAddresses = state.bootstrapAddresses.addAll(
                    event.addresses.filter { it != state.self.peerAddress },
                ),
            ),
        )
        MembershipEvent.DrainStarted -> startDraining(state)
        MembershipEvent.Stopping -> announceDeparture(state)
        MembershipEvent.Tick -> tick(state, now)
    }

    private fun receive(
        state: MembershipState,
        event: MembershipEvent.Received,
        now: Duration,
    ): MembershipStep {
        val from = event.from
        val message = event.message
        return applyRecords(state, message.updates, now).then { known ->
            when (message) {
                is Ping -> markAlive(known, from, message.incarnation, now)
                    .then { acknowledge(it, from, message.sequence) }
                is Ack -> markAlive(known, from, message.incarnation, now)
                    .then { ackReceived(it, message.sequence) }
                is PingRequest -> relayPing(known, from, message, now)
                is Join -> Step(known, memberPages(known, from).toPersistentList())
                is Members -> Step(known)
            }
        }
    }

    /** Treats a direct message from [from] as evidence that it is alive. */
    private fun markAlive(state: MembershipState, from: Member, incarnation: Long, now: Duration) =
        when (val known = state.records[from.vm]) {
            null -> applyRecord(state, MemberRecord(from, incarnation), now)
            else -> applyRecord(
                state,
                MemberRecord(from, incarnation, leaving = known.leaving),
                now,
            )
        }

    private fun acknowledge(state: MembershipState, from: Member, sequence: Long): MembershipStep =
        sendWithUpdates(state, from) { updates -> Ack(sequence, state.incarnation, updates) }

    private fun ackReceived(state: MembershipState, sequence: Long): MembershipStep {
        val relay = state.relays[sequence]
        val next = state.copy(
            probes = state.probes.remove(sequence),
            relays = state.relays.remove(sequence),
        )
        if (relay == null) return Step(next)
        return sendWithUpdates(next, relay.origin) { Ack(relay.sequence, next.incarnation, it) }
    }

    private fun relayPing(
        state: MembershipState,
        from: Member,
        request: PingRequest,
        now: Duration,
    ): MembershipStep {
        val target = state.records[request.target] ?: return Step(state)
        val sequence = state.sequence + 1
        val relay = MembershipState.Relay(from, request.sequence, now)
        val next = state.copy(sequence = sequence, relays = state.relays.put(sequence, relay))
        return sendWithUpdates(next, target.member) { Ping(sequence, next.incarnation, it) }
    }

    private fun memberPages(state: MembershipState, to: Member): List<MembershipAction> =
        (state.records.values + state.ownRecord).chunked(PAGE_SIZE).map { Send(to, Members(it)) }

    private fun connected(state: MembershipState, member: Member, now: Duration): MembershipStep {
        if (member.vm == state.self.vm) return Step(state)
        val known = state.records[member.vm]
        if (known != null && known.isReachable) return Step(state)
        val applied = if (known == null) {
            applyRecord(state, MemberRecord(member, incarnation = 0), now)
        } else {
            Step(state)
        }
        return applied.then { next ->
            next.withActions(Send(member, Join(listOfNotNull(next.ownRecord, known))))
        }
    }

    private fun startDraining(state: MembershipState): MembershipStep {
        if (state.leaving) return Step(state)
        return Step(
            spreadOwnRecord(state.copy(leaving = true, incarnation = state.incarnation + 1)),
        )
    }

    private fun announceDeparture(state: MembershipState): MembershipStep {
        val next = spreadOwnRecord(state.copy(hasLeft = true, incarnation = state.incarnation + 1))
        val drawn = SeededRandom.sample(state.seed, state.reachable(), DEPARTURE_FANOUT)
        val message = Members(listOf(next.ownRecord))
        return Step(
            next.copy(seed = drawn.seed),
            drawn.value.map { Send(it.member, message) }.toPersistentList(),
        )
    }

    private fun tick(state: MembershipState, now: Duration): MembershipStep {
        if (state.hasLeft) return Step(state)
        val gap = now - (state.lastTick ?: now)
        val resumed = if (gap > state.settings.pauseThreshold) afterPause(state, gap) else state
        return expireProbes(resumed.copy(lastTick = now), now)
            .then { expireSuspects(it, now) }
            .then { probeNext(it, now) }
            .then { reconnect(it, now) }
    }

    /** Resets probes and extends suspicions: silence during its own pause proves nothing. */
    private fun afterPause(state: MembershipState, gap: Duration): MembershipState = state.copy(
        probes = state.probes.clear(),
        relays = state.relays.clear(),
        suspicionDeadlines = state.suspicionDeadlines.entries
            .fold(state.suspicionDeadlines) { map, (vm, deadline) ->
                map.put(vm, deadline + gap)
            },
        counts = state.counts.copy(pauses = state.counts.pauses + 1),
    )

    private fun probeNext(state: MembershipState, now: Duration): MembershipStep {
        if (now < state.nextProbe) return Step(state)
        val ready = withProbeOrder(state.copy(nextProbe = now + state.settings.probeInterval))
        val target = ready.probeOrder.firstOrNull() ?: return Step(ready)
        val rest = ready.copy(probeOrder = ready.probeOrder.removeAt(0))
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
        return sendWithUpdates(next, record.member) { Ping(sequence, next.incarnation, it) }
    }

    private fun withProbeOrder(state: MembershipState): MembershipState {
        if (state.probeOrder.isNotEmpty()) return state
        val drawn = SeededRandom.shuffle(state.seed, state.reachable().map { it.member.vm })
        return state.copy(probeOrder = drawn.value.toPersistentList(), seed = drawn.seed)
    }

    private fun expireProbes(state: MembershipState, now: Duration): MembershipStep {
        val settings = state.settings
        val relayTimeout = settings.probeTimeout + settings.indirectTimeout
        val relays = state.relays.filterValues { now - it.sentAt > relayTimeout }.keys
        val start = Step<MembershipState, MembershipAction>(
            state.copy(relays = relays.fold(state.relays) { map, key -> map.remove(key) }),
        )
        return state.probes.entries.fold(start) { step, (sequence, probe) ->
            val age = now - probe.sentAt
            when {
                probe.isIndirect && age > relayTimeout ->
                    step.then { probeFailed(it, sequence, probe, now) }
                !probe.isIndirect && age > settings.probeTimeout ->
                    step.then { probeIndirectly(it, sequence, probe) }
                else -> step
            }
        }
    }

    private fun probeIndirectly(
        state: MembershipState,
        sequence: Long,
        probe: MembershipState.Probe,
    ): MembershipStep {
        val others = state.reachable().filter { it.member.vm != probe.target }
        val drawn = SeededRandom.sample(state.seed, others, state.settings.indirectProbes)
        val start = state.copy(
            seed = drawn.seed,
            probes = state.probes.put(sequence, probe.copy(isIndirect = true)),
        )
        return drawn.value.fold(Step(start)) { step, helper ->
            step.then { next ->
                sendWithUpdates(next, helper.member) { PingRequest(sequence, probe.target, it) }
            }
        }
    }

    private fun probeFailed(
        state: MembershipState,
        sequence: Long,
        probe: MembershipState.Probe,
        now: Duration,
    ): MembershipStep {
        val next = state.copy(probes = state.probes.remove(sequence))
        val record = next.records[probe.target] ?: return Step(next)
        if (record.status != MemberStatus.ALIVE) return Step(next)
        val counts = next.counts.copy(suspicions = next.counts.suspicions + 1)
        return applyRecord(
            next.copy(counts = counts),
            record.copy(status = MemberStatus.SUSPECT),
            now,
        )
    }

    private fun expireSuspects(state: MembershipState, now: Duration): MembershipStep {
        val due = state.suspicionDeadlines.filterValues { it <= now }.keys
        return due.fold(Step(state)) { step, vm ->
            step.then { next ->
                val record = next.records.getValue(vm).copy(status = MemberStatus.DEAD)
                val counts = next.counts.copy(deaths = next.counts.deaths + 1)
                applyRecord(next.copy(counts = counts), record, now)
            }
        }
    }

    /** Periodically tries an address without a live member, so that partitions heal. */
    private fun reconnect(state: MembershipState, now: Duration): MembershipStep {
        if (now < state.nextReconnect) return Step(state)
        val pruned = pruneUnreachable(state, now)
        val live = pruned.reachable().map { it.member.peerAddress }.toSet()
        val dead = pruned.records.values.filter { it.status == MemberStatus.DEAD }
        val candidates = (pruned.bootstrapAddresses + dead.map { it.member.peerAddress }) - live
        val next = pruned.copy(nextReconnect = now + state.settings.reconnectInterval)
        if (candidates.isEmpty()) return Step(next)
        val drawn = SeededRandom.index(next.seed, candidates.size)
        return Step(
            next.copy(seed = drawn.seed),
            persistentListOf(Connect(candidates.elementAt(drawn.value))),
        )
    }

    private fun pruneUnreachable(state: MembershipState, now: Duration): MembershipState {
        val due = state.unreachableSince
            .filterValues { now - it > state.settings.deadRetention }.keys
        return state.copy(
            records = due.fold(state.records) { map, vm -> map.remove(vm) },
            unreachableSince = due.fold(state.unreachableSince) { map, vm -> map.remove(vm) },
            pendingUpdates = due.fold(state.pendingUpdates) { map, vm -> map.remove(vm) },
        )
    }

    private companion object {
        /** The largest number of records in one [Members] message. */
        const val PAGE_SIZE = 32

        /** The number of members to which a stopping node announces its departure directly. */
        const val DEPARTURE_FANOUT = 3
    }
}
