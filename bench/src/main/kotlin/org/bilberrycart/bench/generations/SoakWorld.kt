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

/**
 * The mutable state of one simulated run, shared by the classes that handle its events. It is not
 * thread-safe; the run uses it on one thread.
 *
 * @property traced the generation whose events are traced; null for no trace.
 */
class SoakWorld(seed: Long, val plan: SoakPlan, private val traced: RequestId?) {
    /** The only source of random numbers in the run, so that a seed reproduces it. */
    val random = Random(seed)
    var now = Duration.ZERO
    var queue = EventQueue<SoakEvent>()
    var nodes: PersistentMap<VmId, SoakNode> = persistentHashMapOf()
    var callers: PersistentMap<RequestId, SoakCaller> = persistentHashMapOf()
    var startedRequests = persistentHashSetOf<RequestId>()
    var table: PersistentMap<ReplicaKey, Verdict> = persistentHashMapOf()
    var cuts = persistentHashSetOf<Fault.Cut>()
    var outages = 0
    var connections = 0L
    var tokens = 0L
    var takeovers = 0L
    var faultsBegun = 0
    var violation: Violation? = null
    var trace = persistentListOf<String>()
    private var knownTexts: PersistentMap<RequestId, PersistentMap<Int, String>> =
        persistentHashMapOf()

    fun node(number: Int, processNumber: Int): SoakNode {
        val vm = VmId("vm$number")
        val dataCentre = DataCentreId("dc${number % plan.dataCentres}")
        val member = Member(vm, "127.0.0.1", number, dataCentre, processNumber.toLong())
        return SoakNode(
            id = ProcessId(vm, processNumber),
            member = member,
            replication = ReplicationState(member),
            takeover = TakeoverState(member, nextClaim = processNumber * CLAIMS_PER_PROCESS),
        )
    }

    fun scheduleMemberRecord(node: SoakNode, member: Member, incarnation: Long) {
        val record = MemberRecord(member, incarnation)
        schedule(0.seconds, SoakEvent.MemberRecordArrived(node.id, record))
    }

    fun startTicks(node: SoakNode) =
        schedule(randomBetween(0.seconds, plan.tick), SoakEvent.Tick(node.id))

    fun transmit(from: VmId, to: Member, event: (ProcessId) -> SoakEvent) {
        val node = nodes.getValue(to.vm)
        val target = node.id
        val isCut = cuts.any { setOf(it.one, it.other) == setOf(from, to.vm) }
        if (isCut || node.member != to || chance(plan.loss)) return
        val item = event(target)
        schedule(latency(), item)
        if (chance(plan.loss)) schedule(latency() * DUPLICATE_DELAY_FACTOR, item)
    }

    /**
     * Reports a violation if another text is known for the index of [token] in [request]. An index
     * of a generation has one text, no matter which node releases it or which caller reads it.
     */
    fun checkTokenText(request: RequestId, token: Token) {
        val known = knownTexts[request] ?: persistentHashMapOf()
        val text = known[token.index]
        if (text != null && text != token.text) {
            reportViolation(
                "released_once",
                request,
                "index ${token.index} is $text and ${token.text}",
            )
        }
        if (text == null) tokens++
        knownTexts = knownTexts.put(request, known.put(token.index, token.text))
    }

    fun answer(vm: VmId, request: RequestId): SoakNode.ReleasedAnswer =
        nodes.getValue(vm).answers[request] ?: SoakNode.ReleasedAnswer()

    fun putAnswer(vm: VmId, request: RequestId, answer: SoakNode.ReleasedAnswer) {
        val node = nodes.getValue(vm)
        nodes = nodes.put(vm, node.copy(answers = node.answers.put(request, answer)))
    }

    fun withEpochs(tokens: List<Token>, lineage: Lineage) =
        tokens.map { SoakNode.ReleasedToken(lineage.epochOf(it.index), it) }

    fun reportViolation(name: String, request: RequestId, detail: String) {
        if (violation == null) violation = Violation(name, request, "$detail at $now")
        traceEvent(VmId("check"), "VIOLATION $name $request $detail")
    }

    fun traceEvent(vm: VmId, event: Any) {
        val request = traced ?: return
        val text = event.toString()
        // Matches whole words, so that a trace of `r1` doesn't contain the events of `r10`.
        if (Regex("\\b${request.value}\\b") in text) trace = trace.add("$now $vm $text")
    }

    fun traceFault(phase: String, fault: Fault) {
        if (traced != null) trace = trace.add("$now fault $phase: $fault")
    }

    fun schedule(delay: Duration, event: SoakEvent) {
        queue = queue.add(now + delay, event)
    }

    fun randomBetween(low: Duration, high: Duration): Duration =
        low + (high - low) * random.nextDouble()

    fun latency(): Duration = randomBetween(MIN_LATENCY, MAX_LATENCY)

    fun tokenGap(): Duration = randomBetween(
        plan.tokenGap * (1 - JITTER),
        plan.tokenGap * (1 + JITTER),
    )

    fun chance(share: Double): Boolean = random.nextDouble() < share

    private companion object {
        val MIN_LATENCY = 500.microseconds
        val MAX_LATENCY = 20.milliseconds
        const val JITTER = 0.5
        const val DUPLICATE_DELAY_FACTOR = 40
        const val CLAIMS_PER_PROCESS = 1_000_000L
    }
}
