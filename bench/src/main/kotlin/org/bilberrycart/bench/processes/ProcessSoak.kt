package org.bilberrycart.bench.processes

import java.nio.file.Files
import java.util.concurrent.Executors
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Duty
import org.bilberrycart.pipeline.Ring
import org.slf4j.LoggerFactory

/**
 * A run of four node processes under a seeded load with seeded faults.
 *
 * One duty starts callers, one brings faults about, each caller has its own thread, and the
 * recorder duty judges what they tell it through one ring.
 */
class ProcessSoak(private val seed: Long, private val minutes: Double) {
    private val plan = ProcessPlan(seed, minutes.minutes)
    private val ring = Ring<RunEvent>("run", RING_CAPACITY)
    private val recorder = Duty(
        name = "recorder",
        ring = ring,
        initial = RunState(),
        filter = RunFilter,
        clock = Clock(),
        sink = {},
        onFailure = { event, cause -> log.error("event=not_recorded what={}", event, cause) },
    )

    /**
     * Runs the load and returns what was seen; ends all processes in any case.
     *
     * The logs of the processes stay in their temporary folder if a violation was seen.
     */
    fun run(): ProcessReport {
        val folder = Files.createTempDirectory("bilberrycart-soak")
        log.info("event=soak_started seed={} folder={}", seed, folder)
        val fleet = ProcessFleet(folder)
        val hook = Thread { fleet.close() }
        Runtime.getRuntime().addShutdownHook(hook)
        val report = fleet.use {
            it.start()
            run(it)
        }
        if (report.violations.isEmpty()) folder.toFile().deleteRecursively()
        return report
    }

    private fun run(fleet: ProcessFleet): ProcessReport {
        recorder.start()
        NodeClient(fleet).use { client -> load(fleet, client) }
        fleet.executions().forEach { (key, count) -> ring.put(RunEvent.Executed(key, count)) }
        ring.put(RunEvent.Ended)
        recorder.close()
        return ProcessReport.of(seed, minutes, recorder.snapshot)
    }

    private fun load(fleet: ProcessFleet, client: NodeClient) {
        val callers = Executors.newCachedThreadPool()
        val arrivals = Executors.newSingleThreadScheduledExecutor()
        val faults = Executors.newSingleThreadScheduledExecutor()
        plan.schedule().forEach { scheduled ->
            when (scheduled) {
                is Scheduled.Fault -> schedule(faults, fleet, scheduled)
                else -> arrivals.after(scheduled.at) {
                    callers.execute { call(fleet, client, scheduled) }
                }
            }
        }
        arrivals.finish(plan.duration + CALLERS_LIMIT)
        faults.finish(CALLERS_LIMIT)
        callers.finish(CALLERS_LIMIT)
    }

    private fun schedule(
        faults: ScheduledExecutorService,
        fleet: ProcessFleet,
        scheduled: Scheduled.Fault,
    ) {
        val fault = scheduled.fault
        faults.after(scheduled.at) {
            log.info("event=fault_begun fault=\"{}\"", fault)
            ring.put(RunEvent.Faulted(fault.name))
            fleet.begin(fault)
        }
        faults.after(scheduled.at + fault.lasts) { fleet.end(fault) }
    }

    private fun call(fleet: ProcessFleet, client: NodeClient, scheduled: Scheduled) {
        when (scheduled) {
            is Scheduled.Generation ->
                GenerationCaller(client, fleet, ring, randomOf(scheduled.number)).run(scheduled)
            is Scheduled.Question ->
                CallCaller(client, ring, randomOf(scheduled.number)).run(scheduled)
            is Scheduled.Check ->
                CallCaller(client, ring, randomOf(scheduled.number)).run(scheduled)
            is Scheduled.Action ->
                CallCaller(client, ring, randomOf(scheduled.number)).run(scheduled)
            is Scheduled.Fault -> error("a fault is not a call: $scheduled")
        }
    }

    private fun randomOf(number: Int) = Random(seed * SEED_STRIDE + number)

    private fun ScheduledExecutorService.after(delay: Duration, action: () -> Unit) {
        schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun java.util.concurrent.ExecutorService.finish(limit: Duration) {
        shutdown()
        val isDone = awaitTermination(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        check(isDone) { "work was left after $limit" }
    }

    private companion object {
        const val RING_CAPACITY = 16_384
        const val SEED_STRIDE = 1_000_003L
        val CALLERS_LIMIT = 2.minutes
        val log = LoggerFactory.getLogger(ProcessSoak::class.java)
    }
}
