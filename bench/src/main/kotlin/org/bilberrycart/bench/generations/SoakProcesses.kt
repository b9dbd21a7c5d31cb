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

/** Runs the replication and takeover decisions of each process and carries out their actions. */
class SoakProcesses(private val world: SoakWorld) {
    fun handleNodeEvent(event: SoakEvent.NodeEvent) {
        val node = world.nodes.getValue(event.node.vm)
        if (node.id != event.node || !node.isAlive) return
        if (node.isPaused) {
            world.schedule(PAUSED_RETRY_INTERVAL, event)
            return
        }
        when (event) {
            is SoakEvent.Replication -> stepReplication(node.id.vm, event.event)
            is SoakEvent.Takeover -> stepTakeover(node.id.vm, event.event)
            is SoakEvent.MemberRecordArrived -> memberRecordArrived(node.id.vm, event.record)
            is SoakEvent.Tick -> {
                stepReplication(node.id.vm, ReplicationEvent.Tick)
                stepTakeover(node.id.vm, TakeoverEvent.Tick)
                world.schedule(world.plan.tick, event)
            }
            is SoakEvent.TokenDue -> tokenDue(node, event)
        }
    }

    private fun memberRecordArrived(vm: VmId, record: MemberRecord) {
        stepReplication(vm, ReplicationEvent.MemberChanged(record))
        stepTakeover(vm, TakeoverEvent.MemberChanged(record))
    }

    private fun stepReplication(vm: VmId, event: ReplicationEvent) {
        val node = world.nodes.getValue(vm)
        val step = REPLICATION.step(node.replication, event, world.now)
        world.nodes = world.nodes.put(vm, node.copy(replication = step.state))
        step.actions.forEach { carryOut(vm, it) }
    }

    private fun stepTakeover(vm: VmId, event: TakeoverEvent) {
        val node = world.nodes.getValue(vm)
        val step = TAKEOVER.step(node.takeover, event, world.now)
        world.nodes = world.nodes.put(vm, node.copy(takeover = step.state))
        step.actions.forEach { carryOut(vm, it) }
    }

    private fun carryOut(vm: VmId, action: ReplicationAction) {
        world.traceEvent(vm, action)
        when (action) {
            is ReplicationAction.Send -> sendReplicationMessages(vm, action)
            is ReplicationAction.Answer -> world.transmit(vm, action.to) { to ->
                val from = world.nodes.getValue(vm).member
                SoakEvent.Takeover(to, TakeoverEvent.ReplyReceived(from, action.message))
            }
            is ReplicationAction.Decide -> writeDecision(world.nodes.getValue(vm).id, action)
            is ReplicationAction.Release -> release(vm, action)
            is ReplicationAction.ReleaseEnd -> releaseEnd(vm, action)
            is ReplicationAction.OwnershipLost -> dropJournal(vm, action)
            is ReplicationAction.Adopted -> {
                world.takeovers++
                val event = TakeoverEvent.Adopted(action)
                world.schedule(LOCAL_DELAY, SoakEvent.Takeover(world.nodes.getValue(vm).id, event))
            }
        }
    }

    private fun carryOut(vm: VmId, action: TakeoverAction) {
        world.traceEvent(vm, action)
        when (action) {
            is TakeoverAction.Send -> sendTakeoverMessage(vm, action)
            is TakeoverAction.Adopt -> adopt(vm, action)
            is TakeoverAction.Reconnect -> {
                val answer = world.answer(vm, action.request)
                val position = (action.after?.index ?: -1) + 1
                val readers = answer.readers.put(action.caller.value, position)
                world.putAnswer(vm, action.request, answer.copy(readers = readers))
                deliverReleased(vm, action.request)
            }
            is TakeoverAction.Replay -> {
                val released = world.withEpochs(action.tokens, action.lineage)
                action.tokens.forEach { world.checkTokenText(action.request, it) }
                val answer = SoakNode.ReleasedAnswer(
                    persistentListOf<SoakNode.ReleasedToken>().addAll(released),
                    action.end,
                )
                world.putAnswer(vm, action.request, answer)
            }
            is TakeoverAction.Refuse -> {
                val part = AnswerPart.Failed(action.code)
                val event = SoakEvent.PartArrived(action.request, action.caller.value, part)
                world.schedule(world.latency(), event)
            }
        }
    }

    private fun sendReplicationMessages(vm: VmId, action: ReplicationAction.Send) {
        val messages = when (world.plan.injectedBug) {
            InjectedBug.NoFence -> action.messages.map(::withoutFence)
            InjectedBug.None, InjectedBug.ForgetfulTable -> action.messages
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

    private fun writeDecision(node: ProcessId, action: ReplicationAction.Decide) {
        val isWritten = world.outages == 0 && !world.chance(world.plan.tableLoss)
        if (isWritten &&
            world.table[action.key] == null
        ) {
            world.table =
                world.table.put(action.key, action.verdict)
        }
        val kept = when (world.plan.injectedBug) {
            InjectedBug.ForgetfulTable -> action.verdict
            InjectedBug.None, InjectedBug.NoFence -> world.table[action.key]
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
        action.tokens.forEach { token -> world.checkTokenText(action.request, token) }
        val answer = world.answer(vm, action.request)
        val added = action.tokens.map { SoakNode.ReleasedToken(action.epoch, it) }
        if (added.first().token.index != answer.released.size) {
            world.reportViolation(
                "release_order",
                action.request,
                "$action after ${answer.released.size}",
            )
        }
        world.putAnswer(vm, action.request, answer.copy(released = answer.released.addAll(added)))
        deliverReleased(vm, action.request)
    }

    private fun releaseEnd(vm: VmId, action: ReplicationAction.ReleaseEnd) {
        world.putAnswer(vm, action.request, world.answer(vm, action.request).copy(end = action.end))
        deliverReleased(vm, action.request)
    }

    private fun dropJournal(vm: VmId, action: ReplicationAction.OwnershipLost) {
        val node = world.nodes.getValue(vm)
        val journal = node.journals[action.request]
        if (journal == null || journal.epoch > action.epoch) return
        world.nodes =
            world.nodes.put(vm, node.copy(journals = node.journals.remove(action.request)))
    }

    private fun sendTakeoverMessage(vm: VmId, action: TakeoverAction.Send) {
        val from = world.nodes.getValue(vm)
        val event = ReplicationEvent.Received(from.member, listOf(action.message))
        if (action.to.vm == vm) {
            world.schedule(LOCAL_DELAY, SoakEvent.Replication(from.id, event))
        } else {
            world.transmit(vm, action.to) { SoakEvent.Replication(it, event) }
        }
    }

    private fun adopt(vm: VmId, action: TakeoverAction.Adopt) {
        val id = action.generation.id
        val node = world.nodes.getValue(vm)
        if ((node.journals[id]?.epoch ?: 0) >= action.epoch) return
        val journal = SoakNode.Journal(action.generation, action.epoch, action.tokens.size)
        action.tokens.forEach { world.checkTokenText(id, it) }
        val answer = SoakNode.ReleasedAnswer(
            released = world.withEpochs(action.tokens, action.lineage).toPersistentList(),
            readers = node.answers[id]?.readers ?: persistentHashMapOf(),
        )
        world.nodes = world.nodes.put(
            vm,
            node.copy(
                journals = node.journals.put(id, journal),
                answers = node.answers.put(id, answer),
            ),
        )
        startGeneration(vm, action.generation, action.epoch)
    }

    fun startGeneration(vm: VmId, generation: GenerationRequest, epoch: Int) {
        stepReplication(vm, ReplicationEvent.Began(generation, epoch))
        val id = world.nodes.getValue(vm).id
        world.schedule(world.tokenGap(), SoakEvent.TokenDue(id, generation.id, epoch))
    }

    private fun tokenDue(node: SoakNode, event: SoakEvent.TokenDue) {
        val journal = node.journals[event.request]
        if (journal == null || journal.epoch != event.epoch) return
        val vm = node.id.vm
        if (journal.size >= world.plan.tokens) {
            val end = AnswerPart.Finished(FinishReason.STOP, journal.size)
            stepReplication(vm, ReplicationEvent.Completed(event.request, event.epoch, end))
            return
        }
        val token =
            Token(journal.size, "${journal.size}:$vm.${node.id.processNumber}.${event.epoch}")
        val next = journal.copy(size = journal.size + 1)
        world.nodes =
            world.nodes.put(vm, node.copy(journals = node.journals.put(event.request, next)))
        stepReplication(vm, ReplicationEvent.Appended(event.request, event.epoch, token))
        world.schedule(world.tokenGap(), event)
    }

    /** Sends each reader of [request] the released parts that it has not been sent, in order. */
    private fun deliverReleased(vm: VmId, request: RequestId) {
        val answer = world.answer(vm, request)
        val readers = answer.readers.entries.fold(answer.readers) { map, (connection, position) ->
            answer.released.drop(position).forEach { released ->
                val part = AnswerPart.Tokens(released.epoch, listOf(released.token))
                world.schedule(CALLER_DELAY, SoakEvent.PartArrived(request, connection, part))
            }
            answer.end?.let {
                world.schedule(CALLER_DELAY, SoakEvent.PartArrived(request, connection, it))
            }
            map.put(connection, maxOf(position, answer.released.size))
        }
        val remaining = if (answer.end == null) readers else persistentHashMapOf()
        world.putAnswer(vm, request, answer.copy(readers = remaining))
    }

    private companion object {
        val REPLICATION = ReplicationFilter()
        val TAKEOVER = TakeoverFilter()
        val LOCAL_DELAY = 10.milliseconds / 100
        val CALLER_DELAY = 1.milliseconds
        val PAUSED_RETRY_INTERVAL = 10.milliseconds
        val TABLE_TIMEOUT = 200.milliseconds
    }
}
