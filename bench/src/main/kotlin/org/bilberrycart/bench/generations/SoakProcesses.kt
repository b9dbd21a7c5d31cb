package org.bilberrycart.bench.generations

import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.FinishReason
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.Token
import org.bilberrycart.model.VmId
import org.bilberrycart.replication.ReplicationAction
import org.bilberrycart.replication.ReplicationEvent
import org.bilberrycart.replication.ReplicationFilter
import org.bilberrycart.replication.ReplicationMessage
import org.bilberrycart.takeover.TakeoverAction
import org.bilberrycart.takeover.TakeoverEvent
import org.bilberrycart.takeover.TakeoverFilter

/** Runs the decisions of each process and carries out what they ask for. */
class SoakProcesses(private val world: SoakWorld) {
    fun handleOnNode(event: SoakEvent.OnNode) {
        val node = world.nodes.getValue(event.node.vm)
        if (node.id != event.node || !node.isAlive) return
        if (node.isPaused) {
            world.schedule(PAUSE_CHECK, event)
            return
        }
        when (event) {
            is SoakEvent.Replication -> replicate(node.id.vm, event.event)
            is SoakEvent.Takeover -> takeOver(node.id.vm, event.event)
            is SoakEvent.Heard -> heard(node.id.vm, event.record)
            is SoakEvent.Tick -> {
                replicate(node.id.vm, ReplicationEvent.Tick)
                takeOver(node.id.vm, TakeoverEvent.Tick)
                world.schedule(world.plan.tick, event)
            }
            is SoakEvent.TokenDue -> tokenDue(node, event)
        }
    }

    private fun heard(vm: VmId, record: MemberRecord) {
        replicate(vm, ReplicationEvent.MemberChanged(record))
        takeOver(vm, TakeoverEvent.MemberChanged(record))
    }

    private fun replicate(vm: VmId, event: ReplicationEvent) {
        val node = world.nodes.getValue(vm)
        val step = REPLICATION.step(node.replication, event, world.now)
        world.nodes = world.nodes.put(vm, node.copy(replication = step.state))
        step.actions.forEach { carryOut(vm, it) }
    }

    private fun takeOver(vm: VmId, event: TakeoverEvent) {
        val node = world.nodes.getValue(vm)
        val step = TAKEOVER.step(node.takeover, event, world.now)
        world.nodes = world.nodes.put(vm, node.copy(takeover = step.state))
        step.actions.forEach { carryOut(vm, it) }
    }

    private fun carryOut(vm: VmId, action: ReplicationAction) {
        world.note(vm, action)
        when (action) {
            is ReplicationAction.Send -> send(vm, action)
            is ReplicationAction.Answer -> world.transmit(vm, action.to) { to ->
                val from = world.nodes.getValue(vm).member
                SoakEvent.Takeover(to, TakeoverEvent.ReplyReceived(from, action.message))
            }
            is ReplicationAction.Decide -> decide(world.nodes.getValue(vm).id, action)
            is ReplicationAction.Release -> release(vm, action)
            is ReplicationAction.ReleaseEnd -> releaseEnd(vm, action)
            is ReplicationAction.OwnershipLost -> ownershipLost(vm, action)
            is ReplicationAction.Adopted -> {
                world.takeovers++
                val event = TakeoverEvent.Adopted(action)
                world.schedule(HOP, SoakEvent.Takeover(world.nodes.getValue(vm).id, event))
            }
        }
    }

    private fun carryOut(vm: VmId, action: TakeoverAction) {
        world.note(vm, action)
        when (action) {
            is TakeoverAction.Send -> ask(vm, action)
            is TakeoverAction.Adopt -> adopt(vm, action)
            is TakeoverAction.Reconnect -> {
                val outlet = world.outlet(vm, action.request)
                val position = (action.after?.index ?: -1) + 1
                val readers = outlet.readers.put(action.caller.value, position)
                world.putOutlet(vm, action.request, outlet.copy(readers = readers))
                serve(vm, action.request)
            }
            is TakeoverAction.Replay -> {
                val released = world.stamped(action.tokens, action.lineage)
                action.tokens.forEach { world.checkCanonical(action.request, it) }
                val whole = SoakNode.Outlet(
                    persistentListOf<SoakNode.Released>().addAll(released),
                    action.end,
                )
                world.putOutlet(vm, action.request, whole)
            }
            is TakeoverAction.Refuse -> {
                val part = AnswerPart.Failed(action.code)
                val event = SoakEvent.Delivered(action.request, action.caller.value, part)
                world.schedule(world.latency(), event)
            }
        }
    }

    private fun send(vm: VmId, action: ReplicationAction.Send) {
        val messages = when (world.plan.planted) {
            PlantedFault.NoFence -> action.messages.map(::withoutFence)
            PlantedFault.None, PlantedFault.ForgetfulTable -> action.messages
        }
        world.transmit(vm, action.to) { to ->
            val from = world.nodes.getValue(vm).member
            SoakEvent.Replication(to, ReplicationEvent.Received(from, messages))
        }
    }

    private fun withoutFence(message: ReplicationMessage): ReplicationMessage =
        if (message is ReplicationMessage.Fence) {
            ReplicationMessage.Acknowledge(message.key, Int.MAX_VALUE, hasEnd = true)
        } else {
            message
        }

    private fun decide(node: ProcessId, action: ReplicationAction.Decide) {
        val isWritten = world.outages == 0 && !world.chance(world.plan.tableLoss)
        if (isWritten &&
            world.table[action.key] == null
        ) {
            world.table =
                world.table.put(action.key, action.verdict)
        }
        val kept = when (world.plan.planted) {
            PlantedFault.ForgetfulTable -> action.verdict
            PlantedFault.None, PlantedFault.NoFence -> world.table[action.key]
        }
        val isAnswered = isWritten && !world.chance(world.plan.tableLoss) && kept != null
        val answer = if (isAnswered) {
            ReplicationEvent.Decided(action.key, checkNotNull(kept))
        } else {
            ReplicationEvent.DecisionFailed(action.key)
        }
        val delay = if (isAnswered) world.latency() else TABLE_TIMEOUT
        world.schedule(delay, SoakEvent.Replication(node, answer))
    }

    private fun release(vm: VmId, action: ReplicationAction.Release) {
        action.tokens.forEach { token -> world.checkCanonical(action.request, token) }
        val outlet = world.outlet(vm, action.request)
        val added = action.tokens.map { SoakNode.Released(action.epoch, it) }
        if (added.first().token.index != outlet.released.size) {
            world.fail("release_order", action.request, "$action after ${outlet.released.size}")
        }
        world.putOutlet(vm, action.request, outlet.copy(released = outlet.released.addAll(added)))
        serve(vm, action.request)
    }

    private fun releaseEnd(vm: VmId, action: ReplicationAction.ReleaseEnd) {
        world.putOutlet(vm, action.request, world.outlet(vm, action.request).copy(end = action.end))
        serve(vm, action.request)
    }

    private fun ownershipLost(vm: VmId, action: ReplicationAction.OwnershipLost) {
        val node = world.nodes.getValue(vm)
        val journal = node.journals[action.request]
        if (journal == null || journal.epoch > action.epoch) return
        world.nodes =
            world.nodes.put(vm, node.copy(journals = node.journals.remove(action.request)))
    }

    private fun ask(vm: VmId, action: TakeoverAction.Send) {
        val from = world.nodes.getValue(vm)
        val event = ReplicationEvent.Received(from.member, listOf(action.message))
        if (action.to.vm == vm) {
            world.schedule(HOP, SoakEvent.Replication(from.id, event))
        } else {
            world.transmit(vm, action.to) { SoakEvent.Replication(it, event) }
        }
    }

    private fun adopt(vm: VmId, action: TakeoverAction.Adopt) {
        val id = action.generation.id
        val node = world.nodes.getValue(vm)
        if ((node.journals[id]?.epoch ?: 0) >= action.epoch) return
        val journal = SoakNode.Journal(action.generation, action.epoch, action.tokens.size)
        action.tokens.forEach { world.checkCanonical(id, it) }
        val outlet = SoakNode.Outlet(
            released = world.stamped(action.tokens, action.lineage).toPersistentList(),
            readers = node.outlets[id]?.readers ?: persistentHashMapOf(),
        )
        world.nodes = world.nodes.put(
            vm,
            node.copy(
                journals = node.journals.put(id, journal),
                outlets = node.outlets.put(id, outlet),
            ),
        )
        begin(vm, action.generation, action.epoch)
    }

    fun begin(vm: VmId, generation: GenerationRequest, epoch: Int) {
        replicate(vm, ReplicationEvent.Began(generation, epoch))
        val id = world.nodes.getValue(vm).id
        world.schedule(world.tokenGap(), SoakEvent.TokenDue(id, generation.id, epoch))
    }

    private fun tokenDue(node: SoakNode, event: SoakEvent.TokenDue) {
        val journal = node.journals[event.request]
        if (journal == null || journal.epoch != event.epoch) return
        val vm = node.id.vm
        if (journal.size >= world.plan.tokens) {
            val end = AnswerPart.Finished(FinishReason.STOP, journal.size)
            replicate(vm, ReplicationEvent.Completed(event.request, event.epoch, end))
            return
        }
        val token = Token(journal.size, "${journal.size}:$vm.${node.id.run}.${event.epoch}")
        val next = journal.copy(size = journal.size + 1)
        world.nodes =
            world.nodes.put(vm, node.copy(journals = node.journals.put(event.request, next)))
        replicate(vm, ReplicationEvent.Appended(event.request, event.epoch, token))
        world.schedule(world.tokenGap(), event)
    }

    /** Sends each reader of [request] what it has not been sent, in order. */
    private fun serve(vm: VmId, request: RequestId) {
        val outlet = world.outlet(vm, request)
        val readers = outlet.readers.entries.fold(outlet.readers) { map, (connection, position) ->
            outlet.released.drop(position).forEach { released ->
                val part = AnswerPart.Tokens(released.epoch, listOf(released.token))
                world.schedule(CALLER_DELAY, SoakEvent.Delivered(request, connection, part))
            }
            outlet.end?.let {
                world.schedule(CALLER_DELAY, SoakEvent.Delivered(request, connection, it))
            }
            map.put(connection, maxOf(position, outlet.released.size))
        }
        val left = if (outlet.end == null) readers else persistentHashMapOf()
        world.putOutlet(vm, request, outlet.copy(readers = left))
    }

    private companion object {
        val REPLICATION = ReplicationFilter()
        val TAKEOVER = TakeoverFilter()
        val HOP = 10.milliseconds / 100
        val CALLER_DELAY = 1.milliseconds
        val PAUSE_CHECK = 10.milliseconds
        val TABLE_TIMEOUT = 200.milliseconds
    }
}
