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
 * A randomised run of many callers on several nodes, whose history is checked.
 *
 * Callers repeat their keys on the same and on other nodes while nodes crash and pause, the table
 * has outages and loses answers, and the service resets connections before, during and after its
 * work. The same seed gives the same run.
 *
 * @property nodes simulated nodes.
 * @property keys idempotency keys in use.
 * @property calls calls made by all callers.
 */
class ActionSoak(
    private val nodes: Int = 3,
    private val keys: Int = 12,
    private val calls: Int = 40,
    private val planted: PlantedFault = PlantedFault.NONE,
) {
    /** Runs one [seed] to its end and checks the history. */
    fun run(seed: Long): SeedResult {
        val start = worldOf(seed)
        val end = generateSequence(start) { if (it.queue.isEmpty()) null else it.next() }
            .first { it.queue.isEmpty() || it.now > END }
        return SeedResult(
            seed = seed,
            calls = end.calls.size,
            faults = end.faults,
            executions = end.executions.size,
            answers = end.answers.groupingBy { nameOf(it.part) }.eachCount().toSortedMap(),
            violations = HistoryCheck(end).violations(),
        )
    }

    private fun worldOf(seed: Long): SoakWorld {
        val random = Random(seed)
        val all = (1..calls).associate { n ->
            val call = callOf(n, random)
            call.id to call
        }.toPersistentMap()
        val started = (0 until nodes).map { node ->
            SoakNode(IdempotencyState(instance = "$node-0", seed = random.nextLong()))
        }.toPersistentList()
        val world = SoakWorld(seed, planted, nodes = started, calls = all)
        val arrivals = all.values.fold(world) { next, call ->
            val event = IdempotencyEvent.Arrived(call)
            next.schedule(call.arrivedAt, Happening.AtNode(random.nextInt(nodes), 0, event))
        }
        return (0 until nodes).fold(arrivals.withFaults(random)) { next, node ->
            next.schedule(TICK, Happening.TickNode(node))
        }
    }

    private fun callOf(number: Int, random: Random): ServiceCall {
        val key = random.nextInt(keys)
        val mode = when (key % MODES) {
            0 -> RepeatMode.KEYED
            1 -> RepeatMode.IDEMPOTENT
            else -> RepeatMode.NEVER
        }
        val arrivedAt = random.nextLong(ARRIVALS.inWholeMilliseconds).milliseconds
        return ServiceCall(
            id = RequestId("r$number"),
            organisation = OrganisationId("o${key % 2}"),
            service = ServiceId("s"),
            requestClass = RequestClass.ACTION,
            fingerprint = Fingerprint("f$key"),
            arrivedAt = arrivedAt,
            deadline = arrivedAt + random.nextLong(MIN_PATIENCE, MAX_PATIENCE).milliseconds,
            operation = "book",
            body = "b$key",
            repeatMode = mode,
            key = IdempotencyKey("k$key"),
        )
    }

    private fun SoakWorld.withFaults(random: Random): SoakWorld =
        (1..random.nextInt(1, MAX_FAULTS)).fold(this) { world, _ ->
            val at = random.nextLong(ARRIVALS.inWholeMilliseconds).milliseconds
            val node = random.nextInt(this@ActionSoak.nodes)
            val length = random.nextLong(MAX_FAULT.inWholeMilliseconds).milliseconds
            val fault = when (random.nextInt(FAULT_KINDS)) {
                0 -> Happening.Crash(node)
                1 -> Happening.Pause(node, length)
                else -> Happening.TableOutage(length)
            }
            world.schedule(at, fault)
        }

    private companion object {
        const val MODES = 6
        const val FAULT_KINDS = 3
        const val MAX_FAULTS = 6
        const val MIN_PATIENCE = 300L
        const val MAX_PATIENCE = 4_000L
        val TICK = 50.milliseconds
        val ARRIVALS = 8.seconds
        val MAX_FAULT = 5.seconds
        val END = 120.seconds
    }
}

/** Puts [happening] into the queue. */
internal fun SoakWorld.schedule(at: Duration, happening: Happening): SoakWorld {
    val item = Scheduled(at, scheduled, happening)
    return copy(queue = queue.add(item), scheduled = scheduled + 1)
}
