package org.bilberrycart.bench.actions

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.idempotency.IdempotencyEvent
import org.bilberrycart.idempotency.IdempotencyState
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.IdempotencyKey
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RepeatMode
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ServiceCall
import org.bilberrycart.model.ServiceId

/**
 * Simulates many callers of several nodes and checks the history of each run.
 *
 * Callers repeat their keys on the same and on other nodes while nodes crash and pause, the table
 * has outages and loses replies, and the service resets connections before, during and after it
 * executes a call. The same seed gives the same run.
 *
 * @property nodes the number of simulated nodes.
 * @property keys the number of idempotency keys in use.
 * @property calls the number of calls made by all callers.
 * @property injectedBug the deliberate bug of the fakes, for tests of [HistoryCheck].
 */
class ActionSoak(
    private val nodes: Int = 3,
    private val keys: Int = 12,
    private val calls: Int = 40,
    private val injectedBug: InjectedBug = InjectedBug.NONE,
) {
    /** Runs the simulation with [seed] to its end and checks the history. */
    fun run(seed: Long): SeedResult {
        val start = initialSimulation(seed)
        val end = generateSequence(start) { if (it.queue.isEmpty()) null else it.advance() }
            .first { it.queue.isEmpty() || it.now > TIME_LIMIT }
        return SeedResult(
            seed = seed,
            calls = end.calls.size,
            faults = end.faults,
            executions = end.executions.size,
            answers = end.answers.groupingBy { resultNameOf(it.part) }.eachCount().toSortedMap(),
            violations = HistoryCheck(end).violations(),
        )
    }

    private fun initialSimulation(seed: Long): Simulation {
        val random = Random(seed)
        val callsById = (1..calls).associate { n ->
            val call = createCall(n, random)
            call.id to call
        }.toPersistentMap()
        val startedNodes = (0 until nodes).map { node ->
            SimulatedNode(IdempotencyState(instance = "$node-0", seed = random.nextLong()))
        }.toPersistentList()
        val simulation = Simulation(seed, injectedBug, nodes = startedNodes, calls = callsById)
        val arrivals = callsById.values.fold(simulation) { next, call ->
            val event = IdempotencyEvent.Arrived(call)
            next.schedule(
                call.arrivedAt,
                SimulationEvent.NodeInput(random.nextInt(nodes), 0, event),
            )
        }
        return (0 until nodes).fold(arrivals.withFaults(random)) { next, node ->
            next.schedule(TICK_INTERVAL, SimulationEvent.NodeTick(node))
        }
    }

    private fun createCall(number: Int, random: Random): ServiceCall {
        val key = random.nextInt(keys)
        val mode = when (key % KEYS_PER_MODE_CYCLE) {
            0 -> RepeatMode.KEYED
            1 -> RepeatMode.IDEMPOTENT
            else -> RepeatMode.NEVER
        }
        val arrivedAt = random.nextLong(ARRIVAL_PERIOD.inWholeMilliseconds).milliseconds
        return ServiceCall(
            id = RequestId("r$number"),
            organisation = OrganisationId("o${key % 2}"),
            service = ServiceId("s"),
            requestClass = RequestClass.ACTION,
            fingerprint = Fingerprint("f$key"),
            arrivedAt = arrivedAt,
            deadline = arrivedAt +
                random.nextLong(MIN_TIMEOUT_MILLIS, MAX_TIMEOUT_MILLIS).milliseconds,
            operation = "book",
            body = "b$key",
            repeatMode = mode,
            key = IdempotencyKey("k$key"),
        )
    }

    private fun Simulation.withFaults(random: Random): Simulation =
        (1..random.nextInt(1, MAX_FAULTS)).fold(this) { simulation, _ ->
            val at = random.nextLong(ARRIVAL_PERIOD.inWholeMilliseconds).milliseconds
            val node = random.nextInt(this@ActionSoak.nodes)
            val length = random.nextLong(MAX_FAULT_DURATION.inWholeMilliseconds).milliseconds
            val fault = when (random.nextInt(FAULT_KINDS)) {
                0 -> SimulationEvent.NodeCrash(node)
                1 -> SimulationEvent.NodePause(node, length)
                else -> SimulationEvent.TableOutage(length)
            }
            simulation.schedule(at, fault)
        }

    private companion object {
        const val KEYS_PER_MODE_CYCLE = 6
        const val FAULT_KINDS = 3
        const val MAX_FAULTS = 6
        const val MIN_TIMEOUT_MILLIS = 300L
        const val MAX_TIMEOUT_MILLIS = 4_000L
        val TICK_INTERVAL = 50.milliseconds
        val ARRIVAL_PERIOD = 8.seconds
        val MAX_FAULT_DURATION = 5.seconds
        val TIME_LIMIT = 120.seconds
    }
}

/** Schedules [event] at the time [at] and returns the new simulation. */
internal fun Simulation.schedule(at: Duration, event: SimulationEvent): Simulation {
    val item = ScheduledEvent(at, scheduled, event)
    return copy(queue = queue.add(item), scheduled = scheduled + 1)
}
