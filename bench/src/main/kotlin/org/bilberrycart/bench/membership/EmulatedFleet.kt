package org.bilberrycart.bench.membership

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import org.bilberrycart.bench.generations.EventQueue
import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MemberStatus
import org.bilberrycart.membership.MembershipAction
import org.bilberrycart.membership.MembershipEvent
import org.bilberrycart.membership.MembershipFilter
import org.bilberrycart.membership.MembershipState
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.VmId
import org.bilberrycart.peer.PeerCodec
import org.bilberrycart.peer.PeerMessage

/**
 * A simulation of the membership decisions of many nodes in one process. Each message is encoded
 * and decoded as on a real link, so that its cost and size are measured too.
 */
class EmulatedFleet(private val plan: MembershipFleetPlan) {
    private val random = Random(plan.seed)
    private var queue = EventQueue<FleetEvent>()
    private var stopped = persistentHashSetOf<VmId>()
    private var paused = persistentHashSetOf<VmId>()
    private var linkLastUsedAt: PersistentMap<Link, Duration> = persistentHashMapOf()

    /** The simulated time since the start of the fleet. */
    var now: Duration = Duration.ZERO
        private set

    /** The membership state of each node. */
    var states: PersistentMap<VmId, MembershipState> = persistentHashMapOf()
        private set

    /** The totals of all nodes so far. */
    var counts: FleetCounts = FleetCounts()
        private set

    /** The simulated time at which each running node learned of the death of a stopped node. */
    var detections: PersistentMap<Detection, Duration> = persistentHashMapOf()
        private set

    /** The detection by the node [observer] that the node [stopped] is dead. */
    data class Detection(val observer: VmId, val stopped: VmId)

    private data class Link(val one: VmId, val other: VmId)

    private sealed class FleetEvent {
        data class Delivery(val at: VmId, val event: MembershipEvent) : FleetEvent()

        data class Frame(val to: VmId, val from: Member, val bytes: ByteArray) : FleetEvent()

        data class Tick(val at: VmId) : FleetEvent()

        data class Pause(val at: VmId) : FleetEvent()

        data class Resume(val at: VmId) : FleetEvent()
    }

    init {
        val members = (1..plan.members).map(::member)
        members.forEach {
            states = states.put(it.vm, MembershipState(it, settings = plan.settings))
        }
        val first = MembershipEvent.Discovered(listOf(members.first().peerAddress))
        members.forEach { member ->
            schedule(MAX_START_DELAY * random.nextDouble(), FleetEvent.Delivery(member.vm, first))
            schedule(plan.settings.tickInterval * random.nextDouble(), FleetEvent.Tick(member.vm))
            if (plan.meanPauseInterval != null) schedule(nextPause(), FleetEvent.Pause(member.vm))
        }
    }

    /** Advances the simulated time by [time] and handles all events that are due by then. */
    fun advance(time: Duration) {
        val end = now + time
        while (true) {
            val due = queue.first()?.takeIf { it.at <= end } ?: break
            queue = queue.rest()
            now = due.at
            handle(due.item)
        }
        now = end
    }

    /** Stops the node [vm] for good, as if its process had been killed. */
    fun stop(vm: VmId) {
        stopped = stopped.add(vm)
    }

    private fun handle(event: FleetEvent): Unit = when (event) {
        is FleetEvent.Delivery -> deliver(event.at, event.event)
        is FleetEvent.Frame -> receive(event)
        is FleetEvent.Tick -> tick(event)
        is FleetEvent.Pause -> {
            paused = paused.add(event.at)
            schedule(plan.pauseDuration, FleetEvent.Resume(event.at))
        }
        is FleetEvent.Resume -> {
            paused = paused.remove(event.at)
            schedule(nextPause(), FleetEvent.Pause(event.at))
        }
    }

    private fun tick(event: FleetEvent.Tick) {
        if (event.at in stopped) return
        if (event.at !in paused) deliver(event.at, MembershipEvent.Tick)
        schedule(plan.settings.tickInterval, event)
    }

    private fun receive(frame: FleetEvent.Frame) {
        if (frame.to in paused) {
            schedule(plan.settings.tickInterval, frame)
            return
        }
        val message = PeerCodec.decode(frame.bytes) as PeerMessage.Membership
        deliver(frame.to, MembershipEvent.Received(frame.from, message.message))
    }

    private fun deliver(vm: VmId, event: MembershipEvent) {
        if (vm in stopped) return
        val before = states.getValue(vm)
        val step = FILTER.step(before, event, now)
        states = states.put(vm, step.state)
        val isOwnObservation = event is MembershipEvent.Tick
        step.actions.forEach { carryOut(step.state.self, it, isOwnObservation) }
    }

    private fun carryOut(from: Member, action: MembershipAction, isOwnObservation: Boolean): Unit =
        when (action) {
            is MembershipAction.Send -> send(from, action)
            is MembershipAction.Connect -> connect(from, action)
            is MembershipAction.Changed -> recordChanged(from.vm, action, isOwnObservation)
        }

    private fun send(from: Member, action: MembershipAction.Send) {
        val bytes = PeerCodec.encode(PeerMessage.Membership(action.message))
        countLinkUse(from.vm, action.to.vm)
        counts = counts.copy(
            messages = counts.messages + 1,
            bytes = counts.bytes + bytes.size + FRAME_HEADER_BYTES,
        )
        val isLost = random.nextDouble() < plan.lossShare
        if (!isLost) schedule(latency(), FleetEvent.Frame(action.to.vm, from, bytes))
    }

    private fun connect(from: Member, action: MembershipAction.Connect) {
        val to = VmId("vm${action.address.port}")
        countLinkUse(from.vm, to)
        if (to in stopped) return
        schedule(
            latency(),
            FleetEvent.Delivery(from.vm, MembershipEvent.Connected(states.getValue(to).self)),
        )
    }

    private fun countLinkUse(from: VmId, to: VmId) {
        val link = if (from < to) Link(from, to) else Link(to, from)
        val last = linkLastUsedAt[link]
        if (last == null || now - last > plan.linkIdleTimeout) {
            counts = counts.copy(links = counts.links + 1)
        }
        linkLastUsedAt = linkLastUsedAt.put(link, now)
    }

    private fun recordChanged(
        at: VmId,
        action: MembershipAction.Changed,
        isOwnObservation: Boolean,
    ) {
        val vm = action.record.member.vm
        val status = action.record.status
        if (vm in stopped) {
            val detection = Detection(at, vm)
            if (status == MemberStatus.DEAD && detection !in detections) {
                detections = detections.put(detection, now)
            }
        } else if (isOwnObservation && vm !in paused) {
            counts = counts.copy(
                falseSuspicions = counts.falseSuspicions + countIf(status, MemberStatus.SUSPECT),
                falseDeaths = counts.falseDeaths + countIf(status, MemberStatus.DEAD),
            )
        }
    }

    private fun countIf(status: MemberStatus, counted: MemberStatus) =
        if (status == counted) 1 else 0

    private fun nextPause(): Duration =
        checkNotNull(plan.meanPauseInterval) * (2 * random.nextDouble())

    private fun latency(): Duration = plan.latency * (MIN_LATENCY_FACTOR + random.nextDouble())

    private fun schedule(delay: Duration, event: FleetEvent) {
        queue = queue.add(now + delay, event)
    }

    private fun member(number: Int) = Member(
        VmId("vm$number"),
        "10.0.0.1",
        number,
        DataCentreId("dc${number % DATA_CENTRES}"),
        PROCESS_NUMBER,
    )

    private companion object {
        val FILTER = MembershipFilter()
        val MAX_START_DELAY = 2.seconds
        const val FRAME_HEADER_BYTES = 4
        const val DATA_CENTRES = 7
        const val MIN_LATENCY_FACTOR = 0.5

        /**
         * The process number of each node. It has the magnitude of a start time in milliseconds,
         * which a real node uses, so that messages have the same length.
         */
        const val PROCESS_NUMBER = 1_790_000_000_000L
    }
}
