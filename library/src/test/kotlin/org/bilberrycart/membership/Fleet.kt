package org.bilberrycart.membership

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.VmId

/** Membership decisions of a few nodes; messages arrive at the same instant unless [cut]. */
internal data class Fleet(
    val states: Map<VmId, MembershipState>,
    val now: Duration = Duration.ZERO,
    val stopped: Set<VmId> = emptySet(),
    val cut: (VmId, VmId) -> Boolean = { _, _ -> false },
) {
    fun after(time: Duration): Fleet {
        val end = now + time
        val period = states.values.first().settings.tickPeriod
        return generateSequence(this) { it.copy(now = it.now + period).tickAll() }
            .first { it.now >= end }
    }

    fun deliver(vm: VmId, event: MembershipEvent): Fleet {
        if (vm in stopped) return this
        val step = FILTER.step(states.getValue(vm), event, now)
        val next = copy(states = states + (vm to step.state))
        return step.actions.fold(next) { fleet, action -> fleet.carryOut(vm, action) }
    }

    fun view(from: Int, of: Int): MemberRecord? = states.getValue(vm(from)).records[vm(of)]

    private fun tickAll(): Fleet =
        states.keys.fold(this) { fleet, vm -> fleet.deliver(vm, MembershipEvent.Tick) }

    private fun carryOut(from: VmId, action: MembershipAction): Fleet = when (action) {
        is MembershipAction.Changed -> this
        is MembershipAction.Send -> pass(from, action.to.vm, action.message)
        is MembershipAction.Greet -> greet(from, vm(action.address.port))
    }

    private fun greet(from: VmId, to: VmId): Fleet =
        if (isCut(from, to)) this else deliver(from, MembershipEvent.Met(member(to)))

    private fun pass(from: VmId, to: VmId, message: MembershipMessage): Fleet = when {
        isCut(from, to) -> this
        else -> deliver(to, MembershipEvent.Received(member(from), message))
    }

    private fun isCut(from: VmId, to: VmId) = to in stopped || cut(from, to)

    companion object {
        private val FILTER = MembershipFilter()

        fun of(size: Int): Fleet {
            val states = (1..size).associate { vm(it) to MembershipState(member(vm(it))) }
            val first = MembershipEvent.Discovered(listOf(member(vm(1)).peerAddress))
            return (1..size).fold(Fleet(states)) { fleet, n -> fleet.deliver(vm(n), first) }
                .after(JOIN_TIME)
        }

        fun vm(number: Int) = VmId("vm$number")

        fun member(vm: VmId): Member {
            val number = vm.value.removePrefix("vm").toInt()
            return Member(vm, "127.0.0.1", number, DataCentreId("dc${number % 3}"))
        }

        private val JOIN_TIME = 10.seconds
    }
}
