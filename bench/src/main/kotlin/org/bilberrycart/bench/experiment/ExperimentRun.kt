package org.bilberrycart.bench.experiment

import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource
import org.bilberrycart.bench.fleet.FleetPlan
import org.bilberrycart.bench.fleet.LocalFleet
import org.bilberrycart.bench.traffic.Caller
import org.bilberrycart.bench.traffic.LoadRun
import org.bilberrycart.bench.traffic.LoadTotals
import org.bilberrycart.bench.traffic.Meter
import org.bilberrycart.bench.traffic.TrafficMeasure
import org.bilberrycart.model.RequestClass
import org.slf4j.LoggerFactory

/** Runs an experiment in this process, with real nodes in front of stand-ins for the engines. */
class ExperimentRun(private val experiment: Experiment) {
    private val schedule = experiment.schedule()

    /** Runs the load and the faults under each policy in turn and returns the results. */
    fun run(): ExperimentReport = ExperimentReport(
        name = experiment.name,
        seed = experiment.seed,
        engineLosses = schedule.count { it.isLoss },
        policies = experiment.policies.map(::run),
    )

    private fun run(policy: PolicyPlan): PolicyReport {
        log.info("event=experiment_policy name={} policy={}", experiment.name, policy.name)
        val plan = FleetPlan(
            engines = List(experiment.engines) {
                experiment.engine.copy(seed = experiment.seed + it)
            },
            nodes = experiment.nodes,
            dataCentres = experiment.dataCentres,
            organisations = experiment.organisations.keys,
            service = policy.toService(),
        )
        return LocalFleet(plan).use { fleet ->
            fleet.startNodes().use { nodes ->
                Caller().use { caller ->
                    val meter = Meter()
                    val arrivals = experiment.traffic.arrivals()
                    val load = LoadRun(arrivals, nodes.target, caller, meter, fleet.writes)
                    measure(policy, fleet, load, meter)
                }
            }
        }
    }

    private fun measure(
        policy: PolicyPlan,
        fleet: LocalFleet,
        load: LoadRun,
        meter: Meter,
    ): PolicyReport {
        val work = EngineWorkSampler { fleet.work(load.deliveredTokens) }
        val faults = thread(name = "faults", isDaemon = true) { injectFaults(fleet, load) }
        work.start()
        val totals = load.run(DRAIN_TIMEOUT)
        faults.join()
        val samples = work.stop()
        meter.close()
        return report(policy, totals, meter, samples)
    }

    private fun report(
        policy: PolicyPlan,
        totals: LoadTotals,
        meter: Meter,
        samples: List<EngineWork>,
    ) = PolicyReport(
        policy = policy.name,
        shortFirstToken =
        meter.quantiles(TrafficMeasure.FIRST_TOKEN, listOf(RequestClass.SHORT_QUESTION)),
        steadyFirstToken =
        meter.quantiles(TrafficMeasure.STEADY_FIRST_TOKEN, listOf(RequestClass.SHORT_QUESTION)),
        firstToken = meter.quantiles(TrafficMeasure.FIRST_TOKEN),
        interToken = meter.quantiles(TrafficMeasure.INTER_TOKEN),
        resume = meter.quantiles(TrafficMeasure.RESUME),
        extraPercent = (samples.last() - samples.first()).extraPercent(experiment.engine),
        worstMinuteExtraPercent = samples.zipWithNext { before, after -> after - before }
            .maxOf { it.extraPercent(experiment.engine) },
        totals = totals,
    )

    private fun injectFaults(fleet: LocalFleet, load: LoadRun) {
        val start = TimeSource.Monotonic.markNow()
        schedule.forEach { planned ->
            val wait = (planned.at - start.elapsedNow()).inWholeMilliseconds
            if (wait > 0) Thread.sleep(wait)
            if (planned.isLoss) load.engineLost(planned.engine)
            fleet.engines[planned.engine].injectFault(planned.fault)
        }
    }

    private fun LocalFleet.work(delivered: Long) =
        EngineWork.of(engines.map { it.state().counters }, delivered)

    private companion object {
        /** How long the run waits for the last answers once all requests are sent. */
        val DRAIN_TIMEOUT = 90.seconds
        val log = LoggerFactory.getLogger(ExperimentRun::class.java)
    }
}
