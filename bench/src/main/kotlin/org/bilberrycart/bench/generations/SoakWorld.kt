package org.bilberrycart.bench.generations

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.Lineage
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.Token
import org.bilberrycart.model.VmId
import org.bilberrycart.replication.ReplicaKey
import org.bilberrycart.replication.ReplicationState
import org.bilberrycart.replication.Verdict
import org.bilberrycart.takeover.TakeoverState

/** All that changes during one run, and the means to change it; one thread uses it. */
class SoakWorld(seed: Long, val plan: SoakPlan, private val traced: RequestId?) {
    /** Draws all that is random in the run. */
    val random = Random(seed)
    var now = Duration.ZERO
    var queue = EventQueue<SoakEvent>()
    var nodes: PersistentMap<VmId, SoakNode> = persistentHashMapOf()
    var callers: PersistentMap<RequestId, SoakCaller> = persistentHashMapOf()
    var opened = persistentHashSetOf<RequestId>()
    var table: PersistentMap<ReplicaKey, Verdict> = persistentHashMapOf()
    var cuts = persistentHashSetOf<Fault.Cut>()
    var outages = 0
    var connections = 0L
    var tokens = 0L
    var takeovers = 0L
    var struck = 0
    var violation: Violation? = null
    var trace = persistentListOf<String>()
    private var canonical: PersistentMap<RequestId, PersistentMap<Int, String>> =
        persistentHashMapOf()

    fun node(number: Int, run: Int): SoakNode {
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

    fun hear(node: SoakNode, member: Member, incarnation: Long) {
        val record = MemberRecord(member, incarnation)
        schedule(0.seconds, SoakEvent.Heard(node.id, record))
    }

    fun startTicks(node: SoakNode) =
        schedule(between(0.seconds, plan.tick), SoakEvent.Tick(node.id))

    fun transmit(from: VmId, to: Member, event: (ProcessId) -> SoakEvent) {
        val node = nodes.getValue(to.vm)
        val target = node.id
        val isCut = cuts.any { setOf(it.one, it.other) == setOf(from, to.vm) }
        if (isCut || node.member != to || chance(plan.loss)) return
        val item = event(target)
        schedule(latency(), item)
        if (chance(plan.loss)) schedule(latency() * REPEAT_DELAY, item)
    }

    /** Each index of a generation has one text, whoever releases it and whoever reads it. */
    fun checkCanonical(request: RequestId, token: Token) {
        val known = canonical[request] ?: persistentHashMapOf()
        val text = known[token.index]
        if (text != null && text != token.text) {
            fail("released_once", request, "index ${token.index} is $text and ${token.text}")
        }
        if (text == null) tokens++
        canonical = canonical.put(request, known.put(token.index, token.text))
    }

    fun outlet(vm: VmId, request: RequestId): SoakNode.Outlet =
        nodes.getValue(vm).outlets[request] ?: SoakNode.Outlet()

    fun putOutlet(vm: VmId, request: RequestId, outlet: SoakNode.Outlet) {
        val node = nodes.getValue(vm)
        nodes = nodes.put(vm, node.copy(outlets = node.outlets.put(request, outlet)))
    }

    fun stamped(tokens: List<Token>, lineage: Lineage) =
        tokens.map { SoakNode.Released(lineage.epochOf(it.index), it) }

    fun fail(name: String, request: RequestId, detail: String) {
        if (violation == null) violation = Violation(name, request, "$detail at $now")
        note(VmId("check"), "VIOLATION $name $request $detail")
    }

    fun note(vm: VmId, what: Any) {
        val request = traced ?: return
        val text = what.toString()
        if (Regex("\\b${request.value}\\b") in text) trace = trace.add("$now $vm $text")
    }

    fun noteFault(verb: String, fault: Fault) {
        if (traced != null) trace = trace.add("$now fault $verb: $fault")
    }

    fun schedule(delay: Duration, event: SoakEvent) {
        queue = queue.add(now + delay, event)
    }

    fun between(low: Duration, high: Duration): Duration = low + (high - low) * random.nextDouble()

    fun latency(): Duration = between(MIN_LATENCY, MAX_LATENCY)

    fun tokenGap(): Duration = between(plan.tokenGap * (1 - JITTER), plan.tokenGap * (1 + JITTER))

    fun chance(share: Double): Boolean = random.nextDouble() < share

    private companion object {
        val MIN_LATENCY = 500.microseconds
        val MAX_LATENCY = 20.milliseconds
        const val JITTER = 0.5
        const val REPEAT_DELAY = 40
        const val CLAIMS_PER_RUN = 1_000_000L
    }
}
