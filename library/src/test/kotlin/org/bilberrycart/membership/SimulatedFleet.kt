package org.bilberrycart.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.VmId

/** The membership of a few nodes; messages arrive at once, or never where [isLinkCut]. */
internal data class SimulatedFleet(
    val states: Map<VmId, MembershipState>,
    val now: Duration = Duration.ZERO,
    val stopped: Set<VmId> = emptySet(),
    val isLinkCut: (VmId, VmId) -> Boolean = { _, _ -> false },
) {
    fun advance(time: Duration): SimulatedFleet {
        val end = now + time
        val interval = states.values.first().settings.tickInterval
        return generateSequence(this) { it.copy(now = it.now + interval).tickAll() }
            .first { it.now >= end }
    }

    fun deliver(vm: VmId, event: MembershipEvent): SimulatedFleet {
        if (vm in stopped) return this
        val step = FILTER.step(states.getValue(vm), event, now)
        val next = copy(states = states + (vm to step.state))
        return step.actions.fold(next) { fleet, action -> fleet.perform(vm, action) }
    }

    fun recordHeldBy(holder: Int, about: Int): MemberRecord? =
        states.getValue(vm(holder)).records[vm(about)]

    private fun tickAll(): SimulatedFleet =
        states.keys.fold(this) { fleet, vm -> fleet.deliver(vm, MembershipEvent.Tick) }

    private fun perform(from: VmId, action: MembershipAction): SimulatedFleet = when (action) {
        is MembershipAction.Changed -> this
        is MembershipAction.Send -> transmit(from, action.to.vm, action.message)
        is MembershipAction.Connect -> connect(from, vm(action.address.port))
    }

    private fun connect(from: VmId, to: VmId): SimulatedFleet =
        if (isUnreachable(from, to)) this else deliver(from, MembershipEvent.Connected(member(to)))

    private fun transmit(from: VmId, to: VmId, message: MembershipMessage): SimulatedFleet = when {
        isUnreachable(from, to) -> this
        else -> deliver(to, MembershipEvent.Received(member(from), message))
    }

    private fun isUnreachable(from: VmId, to: VmId) = to in stopped || isLinkCut(from, to)

    companion object {
        private val FILTER = MembershipFilter()

        fun of(size: Int): SimulatedFleet {
            val states = (1..size).associate { vm(it) to MembershipState(member(vm(it))) }
            val discovered = MembershipEvent.Discovered(listOf(member(vm(1)).peerAddress))
            return (1..size)
                .fold(SimulatedFleet(states)) { fleet, n -> fleet.deliver(vm(n), discovered) }
                .advance(JOIN_TIME)
        }

        fun vm(number: Int) = VmId("vm$number")

        fun member(vm: VmId): Member {
            val number = vm.value.removePrefix("vm").toInt()
            return Member(vm, "127.0.0.1", number, DataCentreId("dc${number % 3}"))
        }

        private val JOIN_TIME = 10.seconds
    }
}
