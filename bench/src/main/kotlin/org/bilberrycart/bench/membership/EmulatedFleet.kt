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

/** Membership decisions of many nodes in one process; each message is encoded and decoded. */
class EmulatedFleet(private val plan: FleetPlan) {
    private val random = Random(plan.seed)
    private var queue = EventQueue<Arrival>()
    private var stopped = persistentHashSetOf<VmId>()
    private var paused = persistentHashSetOf<VmId>()
    private var linkUse: PersistentMap<Link, Duration> = persistentHashMapOf()

    /** The time that has passed in the fleet. */
    var now: Duration = Duration.ZERO
        private set

    /** The state of each node. */
    var states: PersistentMap<VmId, MembershipState> = persistentHashMapOf()
        private set

    /** What happened so far. */
    var counts: FleetCounts = FleetCounts()
        private set

    /** When each running node learned of each stopped one. */
    var detections: PersistentMap<Detection, Duration> = persistentHashMapOf()
        private set

    /** That [observer] learned that [stopped] is dead. */
    data class Detection(val observer: VmId, val stopped: VmId)

    private data class Link(val one: VmId, val other: VmId)

    private sealed class Arrival {
        data class Event(val at: VmId, val event: MembershipEvent) : Arrival()

        data class Frame(val to: VmId, val from: Member, val bytes: ByteArray) : Arrival()

        data class Tick(val at: VmId) : Arrival()

        data class Pause(val at: VmId) : Arrival()

        data class Wake(val at: VmId) : Arrival()
    }

    init {
        val members = (1..plan.members).map(::member)
        members.forEach {
            states = states.put(it.vm, MembershipState(it, settings = plan.settings))
        }
        val first = MembershipEvent.Discovered(listOf(members.first().peerAddress))
        members.forEach { member ->
            schedule(START_SPREAD * random.nextDouble(), Arrival.Event(member.vm, first))
            schedule(plan.settings.tickInterval * random.nextDouble(), Arrival.Tick(member.vm))
            if (plan.pauseEvery != null) schedule(nextPause(), Arrival.Pause(member.vm))
        }
    }

    /** Lets [time] pass. */
    fun run(time: Duration) {
        val end = now + time
        while (true) {
            val due = queue.first()?.takeIf { it.at <= end } ?: break
            queue = queue.rest()
            now = due.at
            handle(due.item)
        }
        now = end
    }

    /** Kills the node [vm]. */
    fun stop(vm: VmId) {
        stopped = stopped.add(vm)
    }

    private fun handle(arrival: Arrival): Unit = when (arrival) {
        is Arrival.Event -> deliver(arrival.at, arrival.event)
        is Arrival.Frame -> receive(arrival)
        is Arrival.Tick -> tick(arrival)
        is Arrival.Pause -> {
            paused = paused.add(arrival.at)
            schedule(plan.pauseLength, Arrival.Wake(arrival.at))
        }
        is Arrival.Wake -> {
            paused = paused.remove(arrival.at)
            schedule(nextPause(), Arrival.Pause(arrival.at))
        }
    }

    private fun tick(arrival: Arrival.Tick) {
        if (arrival.at in stopped) return
        if (arrival.at !in paused) deliver(arrival.at, MembershipEvent.Tick)
        schedule(plan.settings.tickInterval, arrival)
    }

    private fun receive(frame: Arrival.Frame) {
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
        val isOwnClaim = event is MembershipEvent.Tick
        step.actions.forEach { carryOut(step.state.self, it, isOwnClaim) }
    }

    private fun carryOut(from: Member, action: MembershipAction, isOwnClaim: Boolean): Unit =
        when (action) {
            is MembershipAction.Send -> send(from, action)
            is MembershipAction.Connect -> greet(from, action)
            is MembershipAction.Changed -> changed(from.vm, action, isOwnClaim)
        }

    private fun send(from: Member, action: MembershipAction.Send) {
        val bytes = PeerCodec.encode(PeerMessage.Membership(action.message))
        useLink(from.vm, action.to.vm)
        counts = counts.copy(
            messages = counts.messages + 1,
            bytes = counts.bytes + bytes.size + FRAME_HEADER,
        )
        val isLost = random.nextDouble() < plan.loss
        if (!isLost) schedule(latency(), Arrival.Frame(action.to.vm, from, bytes))
    }

    private fun greet(from: Member, action: MembershipAction.Connect) {
        val to = VmId("vm${action.address.port}")
        useLink(from.vm, to)
        if (to in stopped) return
        schedule(
            latency(),
            Arrival.Event(from.vm, MembershipEvent.Connected(states.getValue(to).self)),
        )
    }

    private fun useLink(from: VmId, to: VmId) {
        val link = if (from < to) Link(from, to) else Link(to, from)
        val last = linkUse[link]
        if (last == null || now - last > plan.linkIdle) {
            counts = counts.copy(links = counts.links + 1)
        }
        linkUse = linkUse.put(link, now)
    }

    private fun changed(at: VmId, action: MembershipAction.Changed, isOwnClaim: Boolean) {
        val vm = action.record.member.vm
        val status = action.record.status
        if (vm in stopped) {
            val detection = Detection(at, vm)
            if (status == MemberStatus.DEAD && detection !in detections) {
                detections = detections.put(detection, now)
            }
        } else if (isOwnClaim && vm !in paused) {
            counts = counts.copy(
                falseSuspicions = counts.falseSuspicions + isOne(status, MemberStatus.SUSPECT),
                falseDeaths = counts.falseDeaths + isOne(status, MemberStatus.DEAD),
            )
        }
    }

    private fun isOne(status: MemberStatus, wanted: MemberStatus) = if (status == wanted) 1 else 0

    private fun nextPause(): Duration = checkNotNull(plan.pauseEvery) * (2 * random.nextDouble())

    private fun latency(): Duration = plan.latency * (HALF + random.nextDouble())

    private fun schedule(delay: Duration, arrival: Arrival) {
        queue = queue.add(now + delay, arrival)
    }

    private fun member(number: Int) =
        Member(VmId("vm$number"), "10.0.0.1", number, DataCentreId("dc${number % CENTRES}"), RUN)

    private companion object {
        val FILTER = MembershipFilter()
        val START_SPREAD = 2.seconds
        const val FRAME_HEADER = 4
        const val CENTRES = 7
        const val HALF = 0.5

        /** A start time in milliseconds as a real node has, so that the encoding is as long. */
        const val RUN = 1_790_000_000_000L
    }
}
