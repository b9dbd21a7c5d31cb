package org.bilberrycart.bench.routing

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.AttemptOutcome
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.Placement
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.Token
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.routing.ServiceRouting
import org.bilberrycart.suspect.SuspectEvent

/**
 * Simulates the admission, suspect and routing filters of several nodes in front of fake engines.
 *
 * The run has a seed and a test clock, and neither I/O nor threads. Load reports arrive with a
 * delay, and so does gossip between nodes.
 */
internal class PolicyRun(
    private val shape: FleetShape,
    private val scenario: Scenario,
    private val routing: ServiceRouting,
    private val seed: Long,
) {
    private val fleet = FakeFleet(shape, routing)
    private val arrivals = Arrivals(shape, scenario, seed)
    private val faultRandom = Random(seed)
    private val recorder = PolicyRunRecorder(shape, scenario)
    private val nodes = FakeNodes(fleet, shape, seed, recorder, ::carryOut)
    private val reportInterval = shape.reportMillis.milliseconds
    private val end = scenario.minutes.minutes
    private var now = Duration.ZERO
    private var eventQueue = EventQueue()
    private var engines: PersistentMap<UpstreamId, FakeEngine> = persistentHashMapOf()
    private var active: PersistentMap<RequestId, ActiveRequest> = persistentHashMapOf()

    /** Runs the scenario to its end and returns what callers saw. */
    fun run(): PolicyRunReport {
        fleet.upstreams.forEach { start(it.id) }
        scheduleFaults()
        schedule(Duration.ZERO, PolicyRunEvent.Tick)
        schedule(Duration.ZERO, PolicyRunEvent.ShareUsage)
        val load = arrivals.all().iterator()
        var next = if (load.hasNext()) load.next() else null
        for (step in 0..EventQueue.stepOf(end)) {
            now = EventQueue.STEP * step.toDouble()
            while (next != null && next.request.arrivedAt <= now) {
                requestArrived(next)
                next = if (load.hasNext()) load.next() else null
            }
            val due = eventQueue.eventsAt(step)
            eventQueue = eventQueue.withoutStep(step)
            due.forEach(::handle)
        }
        nodes.checkInvariants()
        return recorder.report(routing.policy.toString(), seed)
    }

    private fun start(id: UpstreamId) {
        engines = engines.put(id, FakeEngine(shape.slots, shape.cachedPrefixes))
        schedule(reportInterval * faultRandom.nextDouble(), PolicyRunEvent.SendLoadReport(id))
    }

    private fun scheduleFaults() {
        val lost = (shape.engines * scenario.lostShare).toInt()
        val ids = fleet.upstreams.map { it.id }.shuffled(faultRandom)
        ids.take(lost).forEach { schedule(end / 2, PolicyRunEvent.EngineCrash(it)) }
        repeat(scenario.minutes * scenario.lossesPerMinute) {
            schedule(
                end * faultRandom.nextDouble(),
                PolicyRunEvent.EngineCrash(ids.random(faultRandom)),
            )
        }
        for (killer in 0 until scenario.killers) {
            schedule(
                FIRST_KILLER_AT + KILLER_INTERVAL * killer.toDouble(),
                PolicyRunEvent.SendKiller(killer, 0),
            )
        }
    }

    private fun schedule(at: Duration, event: PolicyRunEvent) {
        val eventTime = maxOf(at, now + EventQueue.STEP)
        if (eventTime <= end) eventQueue = eventQueue.withEvent(eventTime, event)
    }

    private fun handle(event: PolicyRunEvent): Unit = when (event) {
        is PolicyRunEvent.RequestArrived -> requestArrived(event.arrival)
        is PolicyRunEvent.FirstTokenProduced -> firstTokenProduced(event)
        is PolicyRunEvent.AttemptCompleted -> attemptCompleted(event)
        is PolicyRunEvent.AttemptLost -> attemptLost(event)
        is PolicyRunEvent.EngineCrash -> crashEngine(event.engine)
        is PolicyRunEvent.EngineRestart -> restartEngine(event.engine)
        is PolicyRunEvent.SendLoadReport -> sendLoadReport(event.engine)
        is PolicyRunEvent.LoadReportArrived -> nodes.loadReported(event.engine, event.load, now)
        is PolicyRunEvent.SendKiller -> sendKiller(event)
        is PolicyRunEvent.RoutingGossip -> nodes.handleRouting(event.node, event.event, now)
        is PolicyRunEvent.SuspectGossip -> nodes.handleSuspect(event.node, event.event, now)
        PolicyRunEvent.ShareUsage -> shareUsage()
        PolicyRunEvent.Tick -> tick()
    }

    private fun tick() {
        nodes.tick(now)
        schedule(now + TICK_INTERVAL, PolicyRunEvent.Tick)
    }

    private fun shareUsage() {
        nodes.shareUsage(now)
        schedule(now + GOSSIP_LAG, PolicyRunEvent.ShareUsage)
    }

    private fun requestArrived(arrival: Arrival) {
        val request = arrival.request
        recorder.arrived(request)
        active = active.put(request.id, ActiveRequest(arrival.node, request))
        nodes.requestArrived(arrival, now)
    }

    private fun sendKiller(event: PolicyRunEvent.SendKiller) {
        recorder.count("killer sent")
        requestArrived(arrivals.killerArrival(event.killer, event.number, now))
        schedule(now + KILLER_INTERVAL, PolicyRunEvent.SendKiller(event.killer, event.number + 1))
    }

    private fun carryOut(action: NodeAction) {
        when (action) {
            is NodeAction.Dispatch -> dispatch(action)
            is NodeAction.Fail -> fail(action.request, action.code)
            is NodeAction.GossipRouting -> forEachPeer(action.node) {
                schedule(now + GOSSIP_LAG, PolicyRunEvent.RoutingGossip(it, action.event))
            }
            is NodeAction.GossipSuspect -> forEachPeer(action.node) {
                schedule(now + GOSSIP_LAG, PolicyRunEvent.SuspectGossip(it, action.event))
            }
        }
    }

    private fun forEachPeer(node: Int, act: (Int) -> Unit) =
        repeat(shape.nodes) { if (it != node) act(it) }

    private fun fail(id: RequestId, code: ResultCode) {
        val current = active[id] ?: return
        active = active.remove(id)
        recorder.refused(current.request, code)
        val isFalse = code == ResultCode.CRASHES_UPSTREAMS && !current.isKiller
        if (isFalse) recorder.count("false refusal")
        nodes.requestEnded(current.node, id, current.producedTokens, now)
    }

    private fun dispatch(action: NodeAction.Dispatch) {
        val current = active.getValue(action.placement.attempt.request)
        val remainingTokens = current.request.sampling.maxTokens - current.producedTokens
        val job =
            Job(action.node, action.placement, current.request.prompt, tokens = remainingTokens)
        if (action.placement.attempt.number == 1) recorder.dispatched(current.request, now)
        val engine = engines.getValue(action.engine)
        if (engine.isAlive) {
            engines = engines.put(action.engine, engine.withQueued(job))
            startNext(action.engine)
        } else {
            schedule(
                now,
                PolicyRunEvent.AttemptLost(
                    action.engine,
                    job,
                    AttemptOutcome.Lost(LossCause.RESET),
                ),
            )
        }
    }

    private fun startNext(id: UpstreamId) {
        val (engine, job) = engines.getValue(id).startNext(now)
        if (job == null) return
        engines = engines.put(id, engine)
        schedule(job.firstTokenAt, PolicyRunEvent.FirstTokenProduced(id, job.attempt))
        schedule(job.endsAt, PolicyRunEvent.AttemptCompleted(id, job.attempt))
    }

    private fun firstTokenProduced(event: PolicyRunEvent.FirstTokenProduced) {
        if (event.attempt !in engines.getValue(event.engine).running) return
        val current = active.getValue(event.attempt.request)
        if (!current.hasFirstToken) recorder.firstToken(current.request, now)
        current.lostAt?.let { recorder.resumed(now - it) }
        val next = current.copy(hasFirstToken = true, lostAt = null)
        active = active.put(event.attempt.request, next)
        if (current.isKiller) {
            recorder.count("engine lost to killer")
            crashEngine(event.engine)
        }
    }

    private fun attemptCompleted(event: PolicyRunEvent.AttemptCompleted) {
        val engine = engines.getValue(event.engine)
        val job = engine.running[event.attempt] ?: return
        val current = active.getValue(event.attempt.request)
        engines = engines.put(event.engine, engine.withoutJob(event.attempt))
        active = active.remove(event.attempt.request)
        recorder.finished(current.request, now)
        nodes.attemptEnded(job.node, job.attempt, event.engine, AttemptOutcome.Completed, now)
        nodes.requestEnded(job.node, event.attempt.request, current.request.sampling.maxTokens, now)
        startNext(event.engine)
    }

    private fun crashEngine(id: UpstreamId) {
        val engine = engines.getValue(id)
        if (!engine.isAlive) return
        recorder.count("engine lost")
        engines = engines.put(id, engine.crashed())
        schedule(now + RESTART_DELAY, PolicyRunEvent.EngineRestart(id))
        val outcome = AttemptOutcome.Lost(LossCause.RESET)
        (engine.running.values + engine.queue).forEach { job ->
            val current = active.getValue(job.attempt.request)
            val next = current.copy(
                producedTokens = current.producedTokens + job.producedTokens(now),
                lostAt = if (current.hasFirstToken) now else null,
            )
            active = active.put(job.attempt.request, next)
            schedule(now, PolicyRunEvent.AttemptLost(id, job, outcome))
        }
    }

    private fun attemptLost(event: PolicyRunEvent.AttemptLost) {
        val job = event.job
        nodes.attemptEnded(job.node, job.attempt, event.engine, event.outcome, now)
        val current = active.getValue(job.attempt.request)
        val number = job.attempt.number + 1
        if (number > MAX_ATTEMPTS) return fail(current.request.id, ResultCode.RETRIES_EXHAUSTED)
        val prefix = if (current.producedTokens > 0) persistentListOf(TOKEN) else persistentListOf()
        val placement = Placement(
            AttemptId(current.request.id, epoch = 1, number = number),
            current.request,
            prefix,
            avoid = job.placement.avoid.add(event.engine),
        )
        nodes.handleSuspect(job.node, SuspectEvent.Place(placement), now)
    }

    private fun restartEngine(id: UpstreamId) {
        engines = engines.put(id, engines.getValue(id).copy(isAlive = true))
    }

    private fun sendLoadReport(id: UpstreamId) {
        val engine = engines.getValue(id)
        if (engine.isAlive) {
            schedule(
                now + shape.reportLagMillis.milliseconds,
                PolicyRunEvent.LoadReportArrived(id, engine.report),
            )
        }
        schedule(now + reportInterval, PolicyRunEvent.SendLoadReport(id))
    }

    private companion object {
        const val MAX_ATTEMPTS = 8
        val TOKEN = Token(0, "t")
        val TICK_INTERVAL = 50.milliseconds
        val GOSSIP_LAG = 1.seconds
        val RESTART_DELAY = 30.seconds
        val FIRST_KILLER_AT = 3.minutes
        val KILLER_INTERVAL = 5.seconds
    }
}
