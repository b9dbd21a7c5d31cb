package org.bilberrycart.lease

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.model.VmId

private data class RaceCase(val name: String, val margin: Duration, val isSafe: Boolean) :
    WithDataTestName {
    override fun dataTestName(): String = name
}

private data class Node(val state: LeaseState, val pausedUntil: Duration = Duration.ZERO)

/** An [event] that reaches [node] at [at], or later if the node is paused. */
private data class Delivery(val at: Duration, val node: Int, val event: LeaseEvent)

/** A [write] of [node] that the table handles at [at]. */
private data class SentWrite(val at: Duration, val node: Int, val write: LeaseAction.Write)

private data class World(
    val random: Random,
    val now: Duration = Duration.ZERO,
    val nodes: List<Node>,
    val deliveries: List<Delivery> = emptyList(),
    val sentWrites: List<SentWrite> = emptyList(),
    val row: StoredLease? = null,
    val storeDownUntil: Duration = Duration.ZERO,
    val overlaps: Int = 0,
    val fencingNumbers: Set<Long> = emptySet(),
)

private val filter = LeaseFilter()
private val STEP = 100.milliseconds
private const val STEPS = 3_000

/** Whether node [index] would still act as the holder now, by its own clock. */
private fun World.holdsLease(index: Int): Boolean {
    val node = nodes[index]
    val until = node.state.ownLease?.validUntil
    return now >= node.pausedUntil && until != null && now < until
}

private fun World.deliver(index: Int, event: LeaseEvent): World {
    val step = filter.step(nodes[index].state, event, now)
    val next = copy(nodes = nodes.mapIndexed { i, n -> if (i == index) n.copy(step.state) else n })
    return step.actions.fold(next) { world, action -> world.carryOut(index, action) }
}

private fun World.carryOut(index: Int, action: LeaseAction): World = when (action) {
    is LeaseAction.Held -> copy(fencingNumbers = fencingNumbers + action.fencing)
    is LeaseAction.Lost -> this
    is LeaseAction.Read -> {
        val event = when {
            now < storeDownUntil -> LeaseEvent.Failed(action.operation, mayHaveApplied = false)
            else -> LeaseEvent.Read(action.operation, row)
        }
        copy(deliveries = deliveries + Delivery(now + delay(), index, event))
    }
    is LeaseAction.Write -> when {
        now < storeDownUntil -> copy(
            deliveries = deliveries +
                Delivery(now + delay(), index, LeaseEvent.Failed(action.operation, false)),
        )
        random.nextInt(6) == 0 -> copy(
            deliveries = deliveries +
                Delivery(now + 1.seconds, index, LeaseEvent.Failed(action.operation, true)),
            sentWrites = sentWrites + SentWrite(now + delay() * random.nextInt(10), index, action),
        )
        else -> apply(SentWrite(now, index, action), isAnswered = true)
    }
}

private fun World.delay(): Duration = random.nextInt(10, 500).milliseconds

private fun World.apply(sent: SentWrite, isAnswered: Boolean): World {
    val write = sent.write
    val isApplied = row?.version == write.expected
    val version = (row?.version ?: 0) + 1
    val event = when {
        isApplied -> LeaseEvent.Written(write.operation, version)
        else -> LeaseEvent.Conflict(write.operation, row)
    }
    val all = if (isAnswered) deliveries + Delivery(now + delay(), sent.node, event) else deliveries
    return copy(row = if (isApplied) StoredLease(write.record, version) else row, deliveries = all)
}

private fun World.advance(): World {
    val at = now + STEP
    val started = copy(now = at).injectFault()
    val (arrived, later) = started.sentWrites.partition { it.at <= at }
    val applied = arrived.fold(started.copy(sentWrites = later)) { world, write ->
        world.apply(write, isAnswered = false)
    }
    val dueNow = applied.deliveries.filter {
        it.at <= at && at >= applied.nodes[it.node].pausedUntil
    }
    val delivered = dueNow.fold(
        applied.copy(deliveries = applied.deliveries - dueNow.toSet()),
    ) { world, delivery -> world.deliver(delivery.node, delivery.event) }
    val ticked = delivered.nodes.indices.filter { at >= delivered.nodes[it].pausedUntil }
        .fold(delivered) { world, index -> world.deliver(index, LeaseEvent.Tick) }
    val holders = ticked.nodes.indices.count { ticked.holdsLease(it) }
    return ticked.copy(overlaps = ticked.overlaps + if (holders > 1) 1 else 0)
}

private fun World.injectFault(): World = when (random.nextInt(200)) {
    0 -> copy(storeDownUntil = now + random.nextInt(20).seconds)
    1, 2 -> {
        val index = random.nextInt(nodes.size)
        val until = now + random.nextInt(20).seconds
        copy(
            nodes = nodes.mapIndexed { i, n ->
                if (i ==
                    index
                ) {
                    n.copy(pausedUntil = until)
                } else {
                    n
                }
            },
        )
    }
    else -> this
}

private fun race(seed: Long, margin: Duration): World {
    val timing = LeaseTiming(safetyMargin = margin)
    val nodes = (0..2).map {
        Node(LeaseState(VmId("n$it"), instance = "i$it", timing = timing, seed = seed + it))
    }
    return (1..STEPS).fold(World(Random(seed), nodes = nodes)) { world, _ -> world.advance() }
}

class LeaseRaceTest :
    FunSpec({
        context("nodes with pauses, and a table with outages and delayed writes") {
            withData(
                RaceCase(
                    "two nodes never hold the lease at the same time",
                    margin = 2.seconds,
                    isSafe = true,
                ),
                RaceCase(
                    "two nodes hold the lease at the same time if the margin is negative",
                    margin = (-9).seconds,
                    isSafe = false,
                ),
            ) { case ->
                val worlds = (1L..20L).map { race(it, case.margin) }
                (worlds.sumOf { it.overlaps } == 0) shouldBe case.isSafe
            }
        }

        test("the lease changes its holder in each of these simulations") {
            (1L..20L).all { race(it, 2.seconds).fencingNumbers.size > 1 } shouldBe true
        }
    })
