package org.bilberrycart.bench.generations

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.membership.MemberStatus
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.EventId
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.FinishReason
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.Lineage
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.Sampling
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.Token
import org.bilberrycart.model.VmId
import org.bilberrycart.release.CallerId
import org.bilberrycart.replication.Owned.HolderState
import org.bilberrycart.replication.ReplicaKey
import org.bilberrycart.replication.ReplicationAction
import org.bilberrycart.replication.ReplicationEvent
import org.bilberrycart.replication.ReplicationFilter
import org.bilberrycart.replication.ReplicationMessage
import org.bilberrycart.replication.ReplicationState
import org.bilberrycart.replication.Verdict
import org.bilberrycart.takeover.TakeoverAction
import org.bilberrycart.takeover.TakeoverEvent
import org.bilberrycart.takeover.TakeoverFilter
import org.bilberrycart.takeover.TakeoverState

/**
 * One seeded run of the replication and takeover decisions of several nodes.
 *
 * Messages are delayed, lost, repeated and reordered; nodes die, pause, leave and are cut off. The
 * engine of each owner gives its own texts, so that two lines of one generation differ. The run
 * stops at the first [Violation]. With [traced], the events of that generation are kept.
 */
class SoakRun(
    private val seed: Long,
    private val plan: SoakPlan = SoakPlan(),
    private val traced: RequestId? = null,
) {
    private val random = Random(seed)
    private var now = Duration.ZERO
    private var queue = EventQueue<SoakEvent>()
    private var nodes: PersistentMap<VmId, SoakNode> = persistentHashMapOf()
    private var callers: PersistentMap<RequestId, SoakCaller> = persistentHashMapOf()
    private var canonical: PersistentMap<RequestId, PersistentMap<Int, String>> =
        persistentHashMapOf()
    private var table: PersistentMap<ReplicaKey, Verdict> = persistentHashMapOf()
    private var cuts = persistentHashSetOf<Fault.Cut>()
    private var outages = 0
    private var connections = 0L
    private var tokens = 0L
    private var takeovers = 0L
    private var struck = 0
    private var violation: Violation? = null
    private var trace = persistentListOf<String>()

    /** Runs to the end of all answers, to the horizon, or to the first violation. */
    fun run(): SoakResult {
        start()
        while (violation == null && callers.values.any { it.end == null }) {
            val due = queue.first()
            if (due == null || due.at > plan.horizon) {
                val stuck = callers.values.first { it.end == null }
                fail("answer_ends", stuck.request, "no end by ${plan.horizon}")
            } else {
                queue = queue.rest()
                now = due.at
                handle(due.item)
            }
        }
        return SoakResult(
            seed = seed,
            generations = plan.generations,
            tokens = tokens,
            faults = struck,
            takeovers = takeovers,
            whole = callers.values.count { it.end is AnswerPart.Finished },
            refused = callers.values.count { it.end is AnswerPart.Failed },
            violation = violation,
            trace = trace,
        )
    }

    private fun start() {
        nodes = (1..plan.nodes).associate { VmId("vm$it") to node(it, run = 1) }.toPersistentMap()
        nodes.values.forEach { node ->
            nodes.values.filter { it !== node }.forEach { hear(node, it.member, 1) }
            startTicks(node)
        }
        repeat(plan.generations) { number -> schedule(between(0.seconds, 1.seconds), open(number)) }
        repeat(plan.faults) {
            schedule(between(0.seconds, plan.faultTime), SoakEvent.Strike(drawFault()))
        }
        plan.script.forEach { schedule(it.at, SoakEvent.Scripted(it)) }
    }

    private fun open(number: Int): SoakEvent {
        val id = RequestId("r$number")
        callers = callers.put(id, SoakCaller(id))
        return SoakEvent.CallerBack(id)
    }

    private fun node(number: Int, run: Int): SoakNode {
        val vm = VmId("vm$number")
        val centre = DataCentreId("dc${number % plan.dataCentres}")
        val member = Member(vm, "127.0.0.1", number, centre, run.toLong())
        return SoakNode(
            id = ProcessId(vm, run),
            member = member,
            replication = ReplicationState(member),
            takeover = TakeoverState(member, nextClaim = run * CLAIMS_PER_RUN),
        )
    }

    private fun startTicks(node: SoakNode) =
        schedule(between(0.seconds, plan.tick), SoakEvent.Tick(node.id))

    private fun hear(node: SoakNode, member: Member, incarnation: Long) {
        val record = MemberRecord(member, incarnation)
        schedule(0.seconds, SoakEvent.Heard(node.id, record))
    }

    private fun handle(event: SoakEvent): Unit = when (event) {
        is SoakEvent.OnNode -> handleOnNode(event)
        is SoakEvent.Delivered -> delivered(event)
        is SoakEvent.CallerCut -> callerCut(event)
        is SoakEvent.CallerBack -> callerBack(event.request)
        is SoakEvent.Scripted -> scripted(event.fault)
        is SoakEvent.Strike -> strike(event.fault)
        is SoakEvent.Mend -> mend(event.fault)
    }

    private fun handleOnNode(event: SoakEvent.OnNode) {
        val node = nodes.getValue(event.node.vm)
        if (node.id != event.node || !node.isAlive) return
        if (node.isPaused) {
            schedule(PAUSE_CHECK, event)
            return
        }
        when (event) {
            is SoakEvent.Replication -> replicate(node.id.vm, event.event)
            is SoakEvent.Takeover -> takeOver(node.id.vm, event.event)
            is SoakEvent.Heard -> heard(node.id.vm, event.record)
            is SoakEvent.Tick -> {
                replicate(node.id.vm, ReplicationEvent.Tick)
                takeOver(node.id.vm, TakeoverEvent.Tick)
                schedule(plan.tick, event)
            }
            is SoakEvent.TokenDue -> tokenDue(node, event)
        }
    }

    private fun heard(vm: VmId, record: MemberRecord) {
        replicate(vm, ReplicationEvent.MemberChanged(record))
        takeOver(vm, TakeoverEvent.MemberChanged(record))
    }

    private fun replicate(vm: VmId, event: ReplicationEvent) {
        val node = nodes.getValue(vm)
        val step = REPLICATION.step(node.replication, event, now)
        nodes = nodes.put(vm, node.copy(replication = step.state))
        step.actions.forEach { carryOut(vm, it) }
    }

    private fun takeOver(vm: VmId, event: TakeoverEvent) {
        val node = nodes.getValue(vm)
        val step = TAKEOVER.step(node.takeover, event, now)
        nodes = nodes.put(vm, node.copy(takeover = step.state))
        step.actions.forEach { carryOut(vm, it) }
    }

    private fun carryOut(vm: VmId, action: ReplicationAction) {
        note(vm, action)
        when (action) {
            is ReplicationAction.Send -> send(vm, action)
            is ReplicationAction.Answer -> transmit(vm, action.to) { to ->
                val from = nodes.getValue(vm).member
                SoakEvent.Takeover(to, TakeoverEvent.Answered(from, action.message))
            }
            is ReplicationAction.Decide -> decide(nodes.getValue(vm).id, action)
            is ReplicationAction.Release -> release(vm, action)
            is ReplicationAction.ReleaseEnd -> releaseEnd(vm, action)
            is ReplicationAction.Disown -> disown(vm, action)
            is ReplicationAction.Adopted -> {
                takeovers++
                val event = TakeoverEvent.Adopted(action)
                schedule(HOP, SoakEvent.Takeover(nodes.getValue(vm).id, event))
            }
        }
    }

    private fun send(vm: VmId, action: ReplicationAction.Send) {
        val messages = when (plan.planted) {
            PlantedFault.NoFence -> action.messages.map(::withoutFence)
            PlantedFault.None, PlantedFault.ForgetfulTable -> action.messages
        }
        transmit(vm, action.to) { to ->
            val from = nodes.getValue(vm).member
            SoakEvent.Replication(to, ReplicationEvent.Received(from, messages))
        }
    }

    private fun withoutFence(message: ReplicationMessage): ReplicationMessage =
        if (message is ReplicationMessage.Fence) {
            ReplicationMessage.Acknowledge(message.key, Int.MAX_VALUE, hasEnd = true)
        } else {
            message
        }

    private fun transmit(from: VmId, to: Member, event: (ProcessId) -> SoakEvent) {
        val node = nodes.getValue(to.vm)
        val target = node.id
        val isCut = cuts.any { setOf(it.one, it.other) == setOf(from, to.vm) }
        if (isCut || node.member != to || chance(plan.loss)) return
        val item = event(target)
        schedule(latency(), item)
        if (chance(plan.loss)) schedule(latency() * REPEAT_DELAY, item)
    }

    private fun decide(node: ProcessId, action: ReplicationAction.Decide) {
        val isWritten = outages == 0 && !chance(plan.tableLoss)
        if (isWritten && table[action.key] == null) table = table.put(action.key, action.verdict)
        val kept = when (plan.planted) {
            PlantedFault.ForgetfulTable -> action.verdict
            PlantedFault.None, PlantedFault.NoFence -> table[action.key]
        }
        val isAnswered = isWritten && !chance(plan.tableLoss) && kept != null
        val answer = if (isAnswered) {
            ReplicationEvent.Decided(action.key, checkNotNull(kept))
        } else {
            ReplicationEvent.DecisionFailed(action.key)
        }
        val delay = if (isAnswered) latency() else TABLE_TIMEOUT
        schedule(delay, SoakEvent.Replication(node, answer))
    }

    private fun release(vm: VmId, action: ReplicationAction.Release) {
        action.tokens.forEach { token -> checkCanonical(action.request, token) }
        val outlet = outlet(vm, action.request)
        val added = action.tokens.map { SoakNode.Released(action.epoch, it) }
        if (added.first().token.index != outlet.released.size) {
            fail("release_order", action.request, "$action after ${outlet.released.size}")
        }
        putOutlet(vm, action.request, outlet.copy(released = outlet.released.addAll(added)))
        serve(vm, action.request)
    }

    /** Each index of a generation has one text, whoever releases it and whoever reads it. */
    private fun checkCanonical(request: RequestId, token: Token) {
        val known = canonical[request] ?: persistentHashMapOf()
        val text = known[token.index]
        if (text != null && text != token.text) {
            fail("released_once", request, "index ${token.index} is $text and ${token.text}")
        }
        if (text == null) tokens++
        canonical = canonical.put(request, known.put(token.index, token.text))
    }

    private fun releaseEnd(vm: VmId, action: ReplicationAction.ReleaseEnd) {
        putOutlet(vm, action.request, outlet(vm, action.request).copy(end = action.end))
        serve(vm, action.request)
    }

    private fun disown(vm: VmId, action: ReplicationAction.Disown) {
        val node = nodes.getValue(vm)
        val journal = node.journals[action.request]
        if (journal == null || journal.epoch > action.epoch) return
        nodes = nodes.put(vm, node.copy(journals = node.journals.remove(action.request)))
    }

    private fun carryOut(vm: VmId, action: TakeoverAction) {
        note(vm, action)
        when (action) {
            is TakeoverAction.Ask -> ask(vm, action)
            is TakeoverAction.Adopt -> adopt(vm, action)
            is TakeoverAction.Reconnect -> {
                val outlet = outlet(vm, action.request)
                val position = (action.after?.index ?: -1) + 1
                val readers = outlet.readers.put(action.caller.value, position)
                putOutlet(vm, action.request, outlet.copy(readers = readers))
                serve(vm, action.request)
            }
            is TakeoverAction.Replay -> {
                val released = stamped(action.tokens, action.lineage)
                action.tokens.forEach { checkCanonical(action.request, it) }
                val whole = SoakNode.Outlet(
                    persistentListOf<SoakNode.Released>().addAll(released),
                    action.end,
                )
                putOutlet(vm, action.request, whole)
            }
            is TakeoverAction.Refuse -> {
                val part = AnswerPart.Failed(action.code)
                val event = SoakEvent.Delivered(action.request, action.caller.value, part)
                schedule(latency(), event)
            }
        }
    }

    private fun ask(vm: VmId, action: TakeoverAction.Ask) {
        val from = nodes.getValue(vm)
        val event = ReplicationEvent.Received(from.member, listOf(action.message))
        if (action.to.vm == vm) {
            schedule(HOP, SoakEvent.Replication(from.id, event))
        } else {
            transmit(vm, action.to) { SoakEvent.Replication(it, event) }
        }
    }

    private fun adopt(vm: VmId, action: TakeoverAction.Adopt) {
        val id = action.generation.id
        val node = nodes.getValue(vm)
        if ((node.journals[id]?.epoch ?: 0) >= action.epoch) return
        val journal = SoakNode.Journal(action.generation, action.epoch, action.tokens.size)
        action.tokens.forEach { checkCanonical(id, it) }
        val outlet = SoakNode.Outlet(
            released = stamped(action.tokens, action.lineage).toPersistentList(),
            readers = node.outlets[id]?.readers ?: persistentHashMapOf(),
        )
        nodes = nodes.put(
            vm,
            node.copy(
                journals = node.journals.put(id, journal),
                outlets = node.outlets.put(id, outlet),
            ),
        )
        begin(vm, action.generation, action.epoch)
    }

    private fun stamped(tokens: List<Token>, lineage: Lineage) =
        tokens.map { SoakNode.Released(lineage.epochOf(it.index), it) }

    private fun begin(vm: VmId, generation: GenerationRequest, epoch: Int) {
        replicate(vm, ReplicationEvent.Began(generation, epoch))
        val id = nodes.getValue(vm).id
        schedule(tokenGap(), SoakEvent.TokenDue(id, generation.id, epoch))
    }

    private fun tokenDue(node: SoakNode, event: SoakEvent.TokenDue) {
        val journal = node.journals[event.request]
        if (journal == null || journal.epoch != event.epoch) return
        val vm = node.id.vm
        if (journal.size >= plan.tokens) {
            val end = AnswerPart.Finished(FinishReason.STOP, journal.size)
            replicate(vm, ReplicationEvent.Completed(event.request, event.epoch, end))
            return
        }
        val token = Token(journal.size, "${journal.size}:$vm.${node.id.run}.${event.epoch}")
        val next = journal.copy(size = journal.size + 1)
        nodes = nodes.put(vm, node.copy(journals = node.journals.put(event.request, next)))
        replicate(vm, ReplicationEvent.Appended(event.request, event.epoch, token))
        schedule(tokenGap(), event)
    }

    private fun outlet(vm: VmId, request: RequestId): SoakNode.Outlet =
        nodes.getValue(vm).outlets[request] ?: SoakNode.Outlet()

    private fun putOutlet(vm: VmId, request: RequestId, outlet: SoakNode.Outlet) {
        val node = nodes.getValue(vm)
        nodes = nodes.put(vm, node.copy(outlets = node.outlets.put(request, outlet)))
    }

    /** Sends each reader of [request] what it has not been sent, in order. */
    private fun serve(vm: VmId, request: RequestId) {
        val outlet = outlet(vm, request)
        val readers = outlet.readers.entries.fold(outlet.readers) { map, (connection, position) ->
            outlet.released.drop(position).forEach { released ->
                val part = AnswerPart.Tokens(released.epoch, listOf(released.token))
                schedule(CALLER_DELAY, SoakEvent.Delivered(request, connection, part))
            }
            outlet.end?.let {
                schedule(CALLER_DELAY, SoakEvent.Delivered(request, connection, it))
            }
            map.put(connection, maxOf(position, outlet.released.size))
        }
        val left = if (outlet.end == null) readers else persistentHashMapOf()
        putOutlet(vm, request, outlet.copy(readers = left))
    }

    private fun delivered(event: SoakEvent.Delivered) {
        val caller = callers.getValue(event.request)
        val isOpen = caller.connection == event.connection && caller.end == null
        val node = caller.node?.let { nodes.getValue(it.vm) }
        if (!isOpen || node == null || node.id != caller.node || !node.isAlive) return
        if (node.isPaused) {
            schedule(PAUSE_CHECK, event)
            return
        }
        note(node.id.vm, event)
        when (val part = event.part) {
            is AnswerPart.Tokens -> part.tokens.forEach { read(caller.request, part.epoch, it) }
            is AnswerPart.Finished -> finished(caller, part)
            is AnswerPart.Failed -> failed(caller, part)
            is AnswerPart.Reply -> error("a generation got $part")
        }
    }

    private fun read(request: RequestId, epoch: Int, token: Token) {
        val caller = callers.getValue(request)
        if (token.index != caller.texts.size) {
            fail("each_token_once", request, "index ${token.index} after ${caller.texts.size}")
        }
        callers = callers.put(
            request,
            caller.copy(
                texts = caller.texts.add(token.text),
                last = EventId(request, epoch, token.index),
            ),
        )
    }

    private fun finished(caller: SoakCaller, part: AnswerPart.Finished) {
        if (caller.texts.size != part.tokenCount || part.tokenCount != plan.tokens) {
            fail("answer_whole", caller.request, "${caller.texts.size} of ${part.tokenCount}")
        }
        callers = callers.put(caller.request, caller.copy(end = part))
    }

    private fun failed(caller: SoakCaller, part: AnswerPart.Failed) {
        if (part.code == ResultCode.FENCED || part.code.retryable || part.code == LATER) {
            cutCaller(caller)
        } else {
            if (plan.mustSurvive) fail("answer_survives", caller.request, "${part.code}")
            callers = callers.put(caller.request, caller.copy(end = part))
        }
    }

    private fun callerCut(event: SoakEvent.CallerCut) {
        val caller = callers.getValue(event.request)
        if (caller.connection == event.connection && caller.end == null) cutCaller(caller)
    }

    private fun cutCaller(caller: SoakCaller) {
        connections++
        callers = callers.put(caller.request, caller.copy(connection = connections, node = null))
        schedule(between(20.milliseconds, 1.seconds), SoakEvent.CallerBack(caller.request))
    }

    private fun callerBack(request: RequestId) {
        val caller = callers.getValue(request)
        if (caller.end != null || caller.node != null) return
        val choice = nodes.values.filter { it.isAlive && !it.isPaused }.sortedBy { it.id.vm }
        if (choice.isEmpty()) {
            schedule(1.seconds, SoakEvent.CallerBack(request))
            return
        }
        val node = choice[random.nextInt(choice.size)]
        connections++
        callers = callers.put(
            request,
            caller.copy(connection = connections, node = node.id),
        )
        if (request in opened) reconnect(node, caller, connections) else openAt(node, request)
    }

    private var opened = persistentHashSetOf<RequestId>()

    private fun openAt(node: SoakNode, request: RequestId) {
        opened = opened.add(request)
        val vm = node.id.vm
        val generation = generation(request)
        val outlet = SoakNode.Outlet(readers = persistentHashMapOf(connections to 0))
        nodes = nodes.put(
            vm,
            node.copy(
                journals = node.journals.put(request, SoakNode.Journal(generation, 1, 0)),
                outlets = node.outlets.put(request, outlet),
            ),
        )
        begin(vm, generation, epoch = 1)
    }

    private fun reconnect(node: SoakNode, caller: SoakCaller, connection: Long) {
        val event = TakeoverEvent.Reconnected(
            CallerId(connection),
            caller.request,
            ORGANISATION,
            caller.last,
        )
        schedule(HOP, SoakEvent.Takeover(node.id, event))
    }

    private fun generation(request: RequestId) = GenerationRequest(
        id = request,
        organisation = ORGANISATION,
        service = ServiceId("drafts"),
        requestClass = RequestClass.LONG_DRAFT,
        fingerprint = Fingerprint(request.value),
        arrivedAt = now,
        deadline = now + plan.horizon,
        model = ModelRef("model"),
        prompt = "prompt",
        sampling = Sampling(maxTokens = plan.tokens),
    )

    private fun drawFault(): Fault {
        val vms = nodes.keys.sorted().shuffled(random)
        return when (random.nextInt(FAULT_KINDS)) {
            0 -> Fault.Kill(vms[0])
            1 -> Fault.Pause(vms[0])
            2 -> Fault.Cut(vms[0], vms[1])
            3 -> Fault.TableOutage
            4 -> Fault.FalseDeath(vms[0], vms[1])
            5 -> Fault.Leave(vms[0])
            else -> Fault.Disconnect(RequestId("r${random.nextInt(plan.generations)}"))
        }
    }

    private fun scripted(fault: ScriptedFault) {
        val request = RequestId("r0")
        val owner = nodes.values.firstOrNull { it.isAlive && request in it.journals } ?: return
        val state = owner.replication.owned[request]?.holder as? HolderState.Active
        val holder = state?.member?.vm ?: return
        val struck = when (fault.role) {
            ScriptedFault.Role.OWNER -> listOf(owner.id.vm)
            ScriptedFault.Role.HOLDER -> listOf(holder)
            ScriptedFault.Role.BOTH -> listOf(owner.id.vm, holder)
        }
        when (fault.kind) {
            ScriptedFault.Kind.KILL -> struck.forEach { strike(Fault.Kill(it)) }
            ScriptedFault.Kind.PAUSE -> struck.forEach { strike(Fault.Pause(it)) }
            ScriptedFault.Kind.LEAVE -> struck.forEach { strike(Fault.Leave(it)) }
            ScriptedFault.Kind.CUT -> strike(Fault.Cut(owner.id.vm, holder))
        }
    }

    private fun strike(fault: Fault) {
        struck++
        noteFault("strikes", fault)
        when (fault) {
            is Fault.Kill -> kill(fault.vm)
            is Fault.Pause -> pause(fault.vm, isPaused = true)
            is Fault.Cut -> cuts = cuts.add(fault)
            is Fault.TableOutage -> outages++
            is Fault.FalseDeath -> tell(fault.at, fault.of, MemberStatus.DEAD)
            is Fault.Leave -> leave(fault.vm)
            is Fault.Disconnect -> {
                val caller = callers.getValue(fault.request)
                if (caller.node != null && caller.end == null) cutCaller(caller)
            }
        }
        schedule(between(100.milliseconds, 4.seconds), SoakEvent.Mend(fault))
    }

    private fun mend(fault: Fault) {
        noteFault("ends", fault)
        when (fault) {
            is Fault.Kill -> restart(fault.vm)
            is Fault.Leave -> {
                kill(fault.vm)
                schedule(between(100.milliseconds, 2.seconds), SoakEvent.Mend(Fault.Kill(fault.vm)))
            }
            is Fault.Pause -> pause(fault.vm, isPaused = false)
            is Fault.Cut -> cuts = cuts.remove(fault)
            is Fault.TableOutage -> outages--
            is Fault.FalseDeath -> tell(fault.at, fault.of, MemberStatus.ALIVE)
            is Fault.Disconnect -> Unit
        }
    }

    private fun kill(vm: VmId) {
        val node = nodes.getValue(vm)
        if (!node.isAlive) return
        nodes = nodes.put(vm, node.copy(isAlive = false, isPaused = false))
        spread(vm, MemberStatus.DEAD, after = between(500.milliseconds, 5.seconds))
        callers.values.filter { it.node == node.id && it.end == null }.forEach {
            schedule(latency(), SoakEvent.CallerCut(it.request, it.connection))
        }
    }

    private fun restart(vm: VmId) {
        val node = nodes.getValue(vm)
        if (node.isAlive) return
        val fresh = node(vm.value.removePrefix("vm").toInt(), node.id.run + 1)
        nodes = nodes.put(vm, fresh)
        startTicks(fresh)
        nodes.values.filter { it.isAlive && it.id.vm != vm }.forEach { hear(fresh, it.member, 1) }
        spread(vm, MemberStatus.ALIVE, after = latency())
    }

    private fun pause(vm: VmId, isPaused: Boolean) {
        val node = nodes.getValue(vm)
        if (!node.isAlive) return
        nodes = nodes.put(vm, node.copy(isPaused = isPaused))
        val status = if (isPaused) MemberStatus.DEAD else MemberStatus.ALIVE
        if (!isPaused || chance(0.5)) spread(vm, status, after = between(0.seconds, 2.seconds))
        if (!isPaused) return
        callers.values.filter { it.node == node.id && it.end == null && chance(0.5) }.forEach {
            val event = SoakEvent.CallerCut(it.request, it.connection)
            schedule(between(500.milliseconds, 2.seconds), event)
        }
    }

    private fun leave(vm: VmId) {
        val node = nodes.getValue(vm)
        if (!node.isAlive) return
        nodes.values.filter { it.id.vm != vm }.forEach {
            val record = MemberRecord(node.member, 1, leaving = true)
            schedule(latency(), SoakEvent.Heard(it.id, record))
        }
        schedule(HOP, SoakEvent.Replication(node.id, ReplicationEvent.HandOver))
    }

    private fun spread(vm: VmId, status: MemberStatus, after: Duration) =
        nodes.keys.filter { it != vm }.forEach { tell(it, vm, status, after + latency()) }

    private fun tell(at: VmId, of: VmId, status: MemberStatus, after: Duration = 0.seconds) {
        val record = MemberRecord(nodes.getValue(of).member, 1, status)
        schedule(after, SoakEvent.Heard(nodes.getValue(at).id, record))
    }

    private fun fail(name: String, request: RequestId, detail: String) {
        if (violation == null) violation = Violation(name, request, "$detail at $now")
        note(VmId("check"), "VIOLATION $name $request $detail")
    }

    private fun note(vm: VmId, what: Any) {
        val request = traced ?: return
        val text = what.toString()
        if (Regex("\\b${request.value}\\b") in text) trace = trace.add("$now $vm $text")
    }

    private fun noteFault(verb: String, fault: Fault) {
        if (traced != null) trace = trace.add("$now fault $verb: $fault")
    }

    private fun schedule(delay: Duration, event: SoakEvent) {
        queue = queue.add(now + delay, event)
    }

    private fun between(low: Duration, high: Duration): Duration =
        low + (high - low) * random.nextDouble()

    private fun latency(): Duration = between(500.seconds / 1_000_000, 20.milliseconds)

    private fun tokenGap(): Duration = between(plan.tokenGap / 2, plan.tokenGap * 3 / 2)

    private fun chance(share: Double): Boolean = random.nextDouble() < share

    private companion object {
        val REPLICATION = ReplicationFilter()
        val TAKEOVER = TakeoverFilter()
        val ORGANISATION = OrganisationId("club")
        val HOP = 10.milliseconds / 100
        val CALLER_DELAY = 1.milliseconds
        val PAUSE_CHECK = 10.milliseconds
        val TABLE_TIMEOUT = 200.milliseconds
        val LATER = ResultCode.STORE_UNAVAILABLE
        const val REPEAT_DELAY = 40
        const val CLAIMS_PER_RUN = 1_000_000L
        const val FAULT_KINDS = 8
    }
}
