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
 * A run of four node processes with a seeded load and seeded faults.
 *
 * One duty starts callers and one injects faults. Each caller has its own thread. The recorder duty
 * receives the observations of all of them through one ring and checks them.
 */
class ProcessSoak(private val seed: Long, private val minutes: Double) {
    private val plan = ProcessPlan(seed, minutes.minutes)
    private val ring = Ring<ProcessRunEvent>("run", RING_CAPACITY)
    private val recorder = Duty(
        name = "recorder",
        ring = ring,
        initial = ProcessRunState(),
        filter = ProcessRunFilter,
        clock = Clock(),
        sink = {},
        onFailure = { event, cause -> log.error("event=not_recorded what={}", event, cause) },
    )

    /**
     * Runs the load and returns the report. All processes are ended, also if the run fails.
     *
     * The temporary folder with the logs of the processes is kept if the run fails or finds a
     * violation.
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
        NodeClient(fleet).use { client -> runLoad(fleet, client) }
        fleet.executions().forEach { (key, count) ->
            ring.put(ProcessRunEvent.Executed(key, count))
        }
        ring.put(ProcessRunEvent.RunEnded)
        recorder.close()
        return ProcessReport.of(seed, minutes, recorder.snapshot)
    }

    private fun runLoad(fleet: ProcessFleet, client: NodeClient) {
        val callers = Executors.newCachedThreadPool()
        val arrivals = Executors.newSingleThreadScheduledExecutor()
        val faults = Executors.newSingleThreadScheduledExecutor()
        plan.schedule().forEach { scheduled ->
            when (scheduled) {
                is Scheduled.Fault -> scheduleFault(faults, fleet, scheduled)
                else -> arrivals.runAfter(scheduled.at) {
                    callers.execute { runCaller(fleet, client, scheduled) }
                }
            }
        }
        arrivals.finishWithin(plan.duration + FINISH_TIMEOUT)
        faults.finishWithin(FINISH_TIMEOUT)
        callers.finishWithin(FINISH_TIMEOUT)
    }

    private fun scheduleFault(
        faults: ScheduledExecutorService,
        fleet: ProcessFleet,
        scheduled: Scheduled.Fault,
    ) {
        val fault = scheduled.fault
        faults.runAfter(scheduled.at) {
            log.info("event=fault_begun fault=\"{}\"", fault)
            ring.put(ProcessRunEvent.FaultBegun(fault.name))
            fleet.beginFault(fault)
        }
        faults.runAfter(scheduled.at + fault.duration) { fleet.endFault(fault) }
    }

    private fun runCaller(fleet: ProcessFleet, client: NodeClient, scheduled: Scheduled) {
        when (scheduled) {
            is Scheduled.Generation ->
                GenerationCaller(client, fleet, ring, randomOf(scheduled.number)).run(scheduled)
            is Scheduled.Question ->
                UnaryCaller(client, ring, randomOf(scheduled.number)).run(scheduled)
            is Scheduled.Check ->
                UnaryCaller(client, ring, randomOf(scheduled.number)).run(scheduled)
            is Scheduled.Action ->
                UnaryCaller(client, ring, randomOf(scheduled.number)).run(scheduled)
            is Scheduled.Fault -> error("a fault is not a call: $scheduled")
        }
    }

    private fun randomOf(number: Int) = Random(seed * SEED_STRIDE + number)

    private fun ScheduledExecutorService.runAfter(delay: Duration, action: () -> Unit) {
        schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun java.util.concurrent.ExecutorService.finishWithin(limit: Duration) {
        shutdown()
        val isDone = awaitTermination(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        check(isDone) { "tasks were still running after $limit" }
    }

    private companion object {
        const val RING_CAPACITY = 16_384
        const val SEED_STRIDE = 1_000_003L
        val FINISH_TIMEOUT = 2.minutes
        val log = LoggerFactory.getLogger(ProcessSoak::class.java)
    }
}
