package org.bilberrycart.bench.generations

import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.membership.MemberStatus
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.VmId
import org.bilberrycart.replication.OwnedGeneration.HolderState
import org.bilberrycart.replication.ReplicationEvent

/** Begins and ends the faults of a run. */
class SoakFaults(private val world: SoakWorld, private val callers: SoakCallers) {
    /** Returns a fault of a random kind, on random nodes or the caller of a random request. */
    fun randomFault(): Fault {
        val vms = world.nodes.keys.sorted().shuffled(world.random)
        val request = RequestId("r${world.random.nextInt(world.plan.generations)}")
        return listOf(
            Fault.Kill(vms[0]),
            Fault.Pause(vms[0]),
            Fault.Cut(vms[0], vms[1]),
            Fault.TableOutage,
            Fault.FalseDeath(vms[0], vms[1]),
            Fault.Leave(vms[0]),
            Fault.Disconnect(request),
        ).random(world.random)
    }

    /**
     * Begins [fault] on the nodes of the first generation; does nothing while that has no owner or
     * no active holder.
     */
    fun beginScriptedFault(fault: ScriptedFault) {
        val request = RequestId("r0")
        val owner =
            world.nodes.values.firstOrNull { it.isAlive && request in it.journals } ?: return
        val state = owner.replication.owned[request]?.holder as? HolderState.Active
        val holder = state?.member?.vm ?: return
        val targets = when (fault.role) {
            ScriptedFault.Role.OWNER -> listOf(owner.id.vm)
            ScriptedFault.Role.HOLDER -> listOf(holder)
            ScriptedFault.Role.BOTH -> listOf(owner.id.vm, holder)
        }
        when (fault.kind) {
            ScriptedFault.Kind.KILL -> targets.forEach { beginFault(Fault.Kill(it)) }
            ScriptedFault.Kind.PAUSE -> targets.forEach { beginFault(Fault.Pause(it)) }
            ScriptedFault.Kind.LEAVE -> targets.forEach { beginFault(Fault.Leave(it)) }
            ScriptedFault.Kind.CUT -> beginFault(Fault.Cut(owner.id.vm, holder))
        }
    }

    fun beginFault(fault: Fault) {
        world.faultsBegun++
        world.traceFault("begins", fault)
        when (fault) {
            is Fault.Kill -> kill(fault.vm)
            is Fault.Pause -> pause(fault.vm, isPaused = true)
            is Fault.Cut -> world.cuts = world.cuts.add(fault)
            is Fault.TableOutage -> world.outages++
            is Fault.FalseDeath -> announceStatus(fault.at, fault.of, MemberStatus.DEAD)
            is Fault.Leave -> leave(fault.vm)
            is Fault.Disconnect -> {
                val caller = world.callers.getValue(fault.request)
                if (caller.node != null && caller.end == null) callers.disconnect(caller)
            }
        }
        world.schedule(world.randomBetween(100.milliseconds, 4.seconds), SoakEvent.FaultEnds(fault))
    }

    /** Ends [fault]; a killed process restarts, and a leaving one is killed and restarts later. */
    fun endFault(fault: Fault) {
        world.traceFault("ends", fault)
        when (fault) {
            is Fault.Kill -> restart(fault.vm)
            is Fault.Leave -> {
                kill(fault.vm)
                world.schedule(
                    world.randomBetween(100.milliseconds, 2.seconds),
                    SoakEvent.FaultEnds(Fault.Kill(fault.vm)),
                )
            }
            is Fault.Pause -> pause(fault.vm, isPaused = false)
            is Fault.Cut -> world.cuts = world.cuts.remove(fault)
            is Fault.TableOutage -> world.outages--
            is Fault.FalseDeath -> announceStatus(fault.at, fault.of, MemberStatus.ALIVE)
            is Fault.Disconnect -> Unit
        }
    }

    private fun kill(vm: VmId) {
        val node = world.nodes.getValue(vm)
        if (!node.isAlive) return
        world.nodes = world.nodes.put(vm, node.copy(isAlive = false, isPaused = false))
        broadcast(vm, MemberStatus.DEAD, after = world.randomBetween(500.milliseconds, 5.seconds))
        world.callers.values.filter { it.node == node.id && it.end == null }.forEach {
            world.schedule(world.latency(), SoakEvent.ConnectionLost(it.request, it.connection))
        }
    }

    private fun restart(vm: VmId) {
        val node = world.nodes.getValue(vm)
        if (node.isAlive) return
        val fresh = world.node(vm.value.removePrefix("vm").toInt(), node.id.processNumber + 1)
        world.nodes = world.nodes.put(vm, fresh)
        world.startTicks(fresh)
        world.nodes.values.filter {
            it.isAlive && it.id.vm != vm
        }.forEach { world.scheduleMemberRecord(fresh, it.member, 1) }
        broadcast(vm, MemberStatus.ALIVE, after = world.latency())
    }

    private fun pause(vm: VmId, isPaused: Boolean) {
        val node = world.nodes.getValue(vm)
        if (!node.isAlive) return
        world.nodes = world.nodes.put(vm, node.copy(isPaused = isPaused))
        val status = if (isPaused) MemberStatus.DEAD else MemberStatus.ALIVE
        val isNoticed = !isPaused || world.chance(NOTICE_PROBABILITY)
        if (isNoticed) broadcast(vm, status, after = world.randomBetween(0.seconds, 2.seconds))
        if (!isPaused) return
        world.callers.values.filter {
            it.node == node.id && it.end == null && world.chance(NOTICE_PROBABILITY)
        }.forEach {
            val event = SoakEvent.ConnectionLost(it.request, it.connection)
            world.schedule(world.randomBetween(500.milliseconds, 2.seconds), event)
        }
    }

    private fun leave(vm: VmId) {
        val node = world.nodes.getValue(vm)
        if (!node.isAlive) return
        world.nodes.values.filter { it.id.vm != vm }.forEach {
            val record = MemberRecord(node.member, 1, leaving = true)
            world.schedule(world.latency(), SoakEvent.MemberRecordArrived(it.id, record))
        }
        world.schedule(LOCAL_DELAY, SoakEvent.Replication(node.id, ReplicationEvent.HandOver))
    }

    private fun broadcast(vm: VmId, status: MemberStatus, after: Duration) =
        world.nodes.keys.filter {
            it != vm
        }.forEach { announceStatus(it, vm, status, after + world.latency()) }

    private fun announceStatus(
        at: VmId,
        of: VmId,
        status: MemberStatus,
        after: Duration = 0.seconds,
    ) {
        val record = MemberRecord(world.nodes.getValue(of).member, 1, status)
        world.schedule(after, SoakEvent.MemberRecordArrived(world.nodes.getValue(at).id, record))
    }

    private companion object {
        val LOCAL_DELAY = 100.microseconds

        /**
         * The probability that the other nodes take a pause for a death, and that a caller of the
         * paused node loses its connection.
         */
        const val NOTICE_PROBABILITY = 0.5
    }
}
