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

private data class Due(val at: Duration, val node: Int, val event: LeaseEvent)

private data class Effect(val at: Duration, val node: Int, val write: LeaseAction.Write)

private data class World(
    val random: Random,
    val now: Duration = Duration.ZERO,
    val nodes: List<Node>,
    val due: List<Due> = emptyList(),
    val effects: List<Effect> = emptyList(),
    val row: StoredLease? = null,
    val downUntil: Duration = Duration.ZERO,
    val overlaps: Int = 0,
    val holders: Set<Long> = emptySet(),
)

private val filter = LeaseFilter()
private val STEP = 100.milliseconds
private const val STEPS = 3_000

/** Whether node [index] would still give an order now, by its own clock. */
private fun World.gives(index: Int): Boolean {
    val node = nodes[index]
    val until = node.state.holding?.validUntil
    return now >= node.pausedUntil && until != null && now < until
}

private fun World.deliver(index: Int, event: LeaseEvent): World {
    val step = filter.step(nodes[index].state, event, now)
    val next = copy(nodes = nodes.mapIndexed { i, n -> if (i == index) n.copy(step.state) else n })
    return step.actions.fold(next) { world, action -> world.carryOut(index, action) }
}

private fun World.carryOut(index: Int, action: LeaseAction): World = when (action) {
    is LeaseAction.Held -> copy(holders = holders + action.fencing)
    is LeaseAction.Lapsed -> this
    is LeaseAction.Read -> {
        val event = when {
            now < downUntil -> LeaseEvent.Failed(action.operation, mayHaveApplied = false)
            else -> LeaseEvent.Read(action.operation, row)
        }
        copy(due = due + Due(now + delay(), index, event))
    }
    is LeaseAction.Write -> when {
        now < downUntil -> copy(
            due = due + Due(now + delay(), index, LeaseEvent.Failed(action.operation, false)),
        )
        random.nextInt(6) == 0 -> copy(
            due = due + Due(now + 1.seconds, index, LeaseEvent.Failed(action.operation, true)),
            effects = effects + Effect(now + delay() * random.nextInt(10), index, action),
        )
        else -> apply(Effect(now, index, action), isHeard = true)
    }
}

private fun World.delay(): Duration = random.nextInt(10, 500).milliseconds

private fun World.apply(effect: Effect, isHeard: Boolean): World {
    val write = effect.write
    val isApplied = row?.version == write.expected
    val version = (row?.version ?: 0) + 1
    val event = when {
        isApplied -> LeaseEvent.Written(write.operation, version)
        else -> LeaseEvent.Conflict(write.operation, row)
    }
    val heard = if (isHeard) due + Due(now + delay(), effect.node, event) else due
    return copy(row = if (isApplied) StoredLease(write.record, version) else row, due = heard)
}

private fun World.advance(): World {
    val at = now + STEP
    val moved = copy(now = at).disturb()
    val (landed, later) = moved.effects.partition { it.at <= at }
    val applied = landed.fold(moved.copy(effects = later)) { w, e -> w.apply(e, isHeard = false) }
    val awake = applied.due.filter { it.at <= at && at >= applied.nodes[it.node].pausedUntil }
    val heard = awake.fold(applied.copy(due = applied.due - awake.toSet())) { w, item ->
        w.deliver(item.node, item.event)
    }
    val ticked = heard.nodes.indices.filter { at >= heard.nodes[it].pausedUntil }
        .fold(heard) { w, index -> w.deliver(index, LeaseEvent.Tick) }
    val holders = ticked.nodes.indices.count { ticked.gives(it) }
    return ticked.copy(overlaps = ticked.overlaps + if (holders > 1) 1 else 0)
}

private fun World.disturb(): World = when (random.nextInt(200)) {
    0 -> copy(downUntil = now + random.nextInt(20).seconds)
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
    val timing = LeaseTiming(margin = margin)
    val nodes = (0..2).map {
        Node(LeaseState(VmId("n$it"), instance = "i$it", timing = timing, seed = seed + it))
    }
    return (1..STEPS).fold(World(Random(seed), nodes = nodes)) { world, _ -> world.advance() }
}

class LeaseRaceTest :
    FunSpec({
        context("nodes that pause, over a table with outages and late writes") {
            withData(
                RaceCase("never hold the lease together", margin = 2.seconds, isSafe = true),
                RaceCase(
                    "would hold it together if the margin were negative",
                    margin = (-9).seconds,
                    isSafe = false,
                ),
            ) { case ->
                val worlds = (1L..20L).map { race(it, case.margin) }
                (worlds.sumOf { it.overlaps } == 0) shouldBe case.isSafe
            }
        }

        test("the lease changes hands in these runs") {
            (1L..20L).all { race(it, 2.seconds).holders.size > 1 } shouldBe true
        }
    })
