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
 * One seeded run of the decisions of several nodes before fake engines, under a test clock.
 *
 * It has no input, output or threads. Load reports and the news between nodes come late.
 */
internal class PolicyRun(
    private val shape: FleetShape,
    private val scenario: Scenario,
    private val routing: ServiceRouting,
    private val seed: Long,
) {
    private val fleet = FakeFleet(shape, routing)
    private val arrivals = Arrivals(shape, scenario, seed)
    private val faults = Random(seed)
    private val recorder = RunRecorder(shape, scenario)
    private val nodes = FakeNodes(fleet, shape, seed, recorder, ::carryOut)
    private val reportInterval = shape.reportMillis.milliseconds
    private val end = scenario.minutes.minutes
    private var now = Duration.ZERO
    private var agenda = Agenda()
    private var engines: PersistentMap<UpstreamId, FakeEngine> = persistentHashMapOf()
    private var live: PersistentMap<RequestId, LiveRequest> = persistentHashMapOf()

    fun run(): RunReport {
        fleet.upstreams.forEach { start(it.id) }
        planFaults()
        plan(Duration.ZERO, RunEvent.Tick)
        plan(Duration.ZERO, RunEvent.ShareUsage)
        val load = arrivals.all().iterator()
        var next = if (load.hasNext()) load.next() else null
        for (step in 0..Agenda.stepOf(end)) {
            now = Agenda.STEP * step.toDouble()
            while (next != null && next.request.arrivedAt <= now) {
                arrive(next)
                next = if (load.hasNext()) load.next() else null
            }
            val due = agenda.at(step)
            agenda = agenda.without(step)
            due.forEach(::handle)
        }
        nodes.check()
        return recorder.report(routing.policy.toString(), seed)
    }

    private fun start(id: UpstreamId) {
        engines = engines.put(id, FakeEngine(shape.slots, shape.cachedPrefixes))
        plan(reportInterval * faults.nextDouble(), RunEvent.SendReport(id))
    }

    private fun planFaults() {
        val lost = (shape.engines * scenario.lostShare).toInt()
        val ids = fleet.upstreams.map { it.id }.shuffled(faults)
        ids.take(lost).forEach { plan(end / 2, RunEvent.Die(it)) }
        repeat(scenario.minutes * scenario.lossesPerMinute) {
            plan(end * faults.nextDouble(), RunEvent.Die(ids.random(faults)))
        }
        for (killer in 0 until scenario.killers) {
            plan(KILLERS_FROM + KILLER_GAP * killer.toDouble(), RunEvent.Resend(killer, 0))
        }
    }

    private fun plan(at: Duration, event: RunEvent) {
        val later = maxOf(at, now + Agenda.STEP)
        if (later <= end) agenda = agenda.with(later, event)
    }

    private fun handle(event: RunEvent): Unit = when (event) {
        is RunEvent.Arrive -> arrive(event.arrival)
        is RunEvent.FirstToken -> firstToken(event)
        is RunEvent.Finish -> finish(event)
        is RunEvent.Lose -> lose(event)
        is RunEvent.Die -> die(event.engine)
        is RunEvent.Restart -> restart(event.engine)
        is RunEvent.SendReport -> sendReport(event.engine)
        is RunEvent.Report -> nodes.report(event.engine, event.load, now)
        is RunEvent.Resend -> resend(event)
        is RunEvent.ToRouting -> nodes.routing(event.node, event.event, now)
        is RunEvent.ToSuspect -> nodes.suspect(event.node, event.event, now)
        RunEvent.ShareUsage -> shareUsage()
        RunEvent.Tick -> tick()
    }

    private fun tick() {
        nodes.tick(now)
        plan(now + TICK, RunEvent.Tick)
    }

    private fun shareUsage() {
        nodes.shareUsage(now)
        plan(now + NEWS_LAG, RunEvent.ShareUsage)
    }

    private fun arrive(arrival: Arrival) {
        val request = arrival.request
        recorder.arrived(request)
        live = live.put(request.id, LiveRequest(arrival.node, request))
        nodes.arrive(arrival, now)
    }

    private fun resend(event: RunEvent.Resend) {
        recorder.count("killer sent")
        arrive(arrivals.killer(event.killer, event.number, now))
        plan(now + KILLER_GAP, RunEvent.Resend(event.killer, event.number + 1))
    }

    private fun carryOut(action: NodeAction) {
        when (action) {
            is NodeAction.Send -> send(action)
            is NodeAction.Fail -> fail(action.request, action.code)
            is NodeAction.TellRouting -> others(action.node) {
                plan(now + NEWS_LAG, RunEvent.ToRouting(it, action.event))
            }
            is NodeAction.TellSuspect -> others(action.node) {
                plan(now + NEWS_LAG, RunEvent.ToSuspect(it, action.event))
            }
        }
    }

    private fun others(node: Int, tell: (Int) -> Unit) =
        repeat(shape.nodes) { if (it != node) tell(it) }

    private fun fail(id: RequestId, code: ResultCode) {
        val held = live[id] ?: return
        live = live.remove(id)
        recorder.refused(held.request, code)
        val isFalse = code == ResultCode.CRASHES_UPSTREAMS && !held.isKiller
        if (isFalse) recorder.count("false refusal")
        nodes.over(held.node, id, held.done, now)
    }

    private fun send(action: NodeAction.Send) {
        val held = live.getValue(action.placement.attempt.request)
        val left = held.request.sampling.maxTokens - held.done
        val job = Job(action.node, action.placement, held.request.prompt, tokens = left)
        if (action.placement.attempt.number == 1) recorder.dispatched(held.request, now)
        val engine = engines.getValue(action.engine)
        if (engine.isAlive) {
            engines = engines.put(action.engine, engine.enqueued(job))
            startNext(action.engine)
        } else {
            plan(now, RunEvent.Lose(action.engine, job, AttemptOutcome.Lost(LossCause.RESET)))
        }
    }

    private fun startNext(id: UpstreamId) {
        val (engine, job) = engines.getValue(id).startNext(now)
        if (job == null) return
        engines = engines.put(id, engine)
        plan(job.firstTokenAt, RunEvent.FirstToken(id, job.attempt))
        plan(job.endsAt, RunEvent.Finish(id, job.attempt))
    }

    private fun firstToken(event: RunEvent.FirstToken) {
        if (event.attempt !in engines.getValue(event.engine).running) return
        val held = live.getValue(event.attempt.request)
        if (!held.hasFirstToken) recorder.firstToken(held.request, now)
        held.lostAt?.let { recorder.resumed(now - it) }
        val next = held.copy(hasFirstToken = true, lostAt = null)
        live = live.put(event.attempt.request, next)
        if (held.isKiller) {
            recorder.count("engine lost to killer")
            die(event.engine)
        }
    }

    private fun finish(event: RunEvent.Finish) {
        val engine = engines.getValue(event.engine)
        val job = engine.running[event.attempt] ?: return
        val held = live.getValue(event.attempt.request)
        engines = engines.put(event.engine, engine.ended(event.attempt))
        live = live.remove(event.attempt.request)
        recorder.finished(held.request, now)
        nodes.attemptEnded(job.node, job.attempt, event.engine, AttemptOutcome.Completed, now)
        nodes.over(job.node, event.attempt.request, held.request.sampling.maxTokens, now)
        startNext(event.engine)
    }

    private fun die(id: UpstreamId) {
        val engine = engines.getValue(id)
        if (!engine.isAlive) return
        recorder.count("engine lost")
        engines = engines.put(id, engine.died())
        plan(now + RESTART_TIME, RunEvent.Restart(id))
        val outcome = AttemptOutcome.Lost(LossCause.RESET)
        (engine.running.values + engine.queue).forEach { job ->
            val held = live.getValue(job.attempt.request)
            val next = held.copy(
                done = held.done + job.done(now),
                lostAt = if (held.hasFirstToken) now else null,
            )
            live = live.put(job.attempt.request, next)
            plan(now, RunEvent.Lose(id, job, outcome))
        }
    }

    private fun lose(event: RunEvent.Lose) {
        val job = event.job
        nodes.attemptEnded(job.node, job.attempt, event.engine, event.outcome, now)
        val held = live.getValue(job.attempt.request)
        val number = job.attempt.number + 1
        if (number > ATTEMPTS) return fail(held.request.id, ResultCode.RETRIES_EXHAUSTED)
        val prefix = if (held.done > 0) persistentListOf(TOKEN) else persistentListOf()
        val placement = Placement(
            AttemptId(held.request.id, epoch = 1, number = number),
            held.request,
            prefix,
            avoid = job.placement.avoid.add(event.engine),
        )
        nodes.suspect(job.node, SuspectEvent.Place(placement), now)
    }

    private fun restart(id: UpstreamId) {
        engines = engines.put(id, engines.getValue(id).copy(isAlive = true))
    }

    private fun sendReport(id: UpstreamId) {
        val engine = engines.getValue(id)
        if (engine.isAlive) {
            plan(
                now + shape.reportLagMillis.milliseconds,
                RunEvent.Report(id, engine.report),
            )
        }
        plan(now + reportInterval, RunEvent.SendReport(id))
    }

    private companion object {
        const val ATTEMPTS = 8
        val TOKEN = Token(0, "t")
        val TICK = 50.milliseconds
        val NEWS_LAG = 1.seconds
        val RESTART_TIME = 30.seconds
        val KILLERS_FROM = 3.minutes
        val KILLER_GAP = 5.seconds
    }
}
