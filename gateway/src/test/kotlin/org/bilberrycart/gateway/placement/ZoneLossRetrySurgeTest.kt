package org.bilberrycart.gateway.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.math.ceil
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.model.RetryUse

/**
 * All engines of a data centre are lost at once, and [losses] streams have to go on elsewhere.
 *
 * @property nodes the number of nodes, which learn of each other's retries after a gossip interval.
 * @property unevenShare the part of the losses that hits a quarter of the nodes.
 */
private data class SurgeCase(val nodes: Int, val losses: Int, val unevenShare: Double) :
    WithDataTestName {
    override fun dataTestName(): String =
        "$nodes nodes, $losses losses, $unevenShare of them at a quarter of the nodes"
}

private const val RATIO = 0.8
private const val SLACK = 150.0
private const val FIRST_PER_NODE_SECOND = 2
private val step = 100.milliseconds
private val lossAt = 5.seconds
private val end = 9.seconds

/** How long a stream waits for the budget, see [PlacementSettings.budgetWait]. */
private val patience = 2.seconds

/** A fleet of budgets that see each other's use a report late. */
private class BudgetFleet(private val case: SurgeCase, private val isShared: Boolean) {
    private val random = Random(case.nodes * 31 + case.losses)
    private var budgets = List(case.nodes) { RetryBudget(10.seconds, RATIO) }
    private var history = emptyList<List<RetryUse>>()
    private var waiting = List(case.nodes) { 0 }

    /** How many lost streams went on elsewhere. */
    var granted = 0
        private set

    fun run(): BudgetFleet = apply {
        generateSequence(Duration.ZERO) { it + step }.takeWhile { it < end }.forEach(::advance)
    }

    private fun advance(now: Duration) {
        if (now.inWholeMilliseconds % 1000 == 0L) {
            budgets = budgets.map { it.withDispatches(now, FIRST_PER_NODE_SECOND) }
        }
        if (now == lossAt) waiting = losses()
        if (now > lossAt + patience) waiting = waiting.map { 0 }
        val delay = FleetRetries(knownNodes = case.nodes).reportDelay
        val reports = history.getOrNull(history.size - ceil(delay / step).toInt())
        budgets = budgets.mapIndexed { node, budget -> retry(node, budget, now, reports) }
        history = history + listOf(budgets.map { it.use(now) })
    }

    private fun losses(): List<Int> {
        val hit = case.nodes / 4
        val targets = List(case.losses) {
            if (random.nextDouble() < case.unevenShare) {
                random.nextInt(hit)
            } else {
                random.nextInt(case.nodes)
            }
        }
        return List(case.nodes) { node -> targets.count { it == node } }
    }

    private fun retry(
        node: Int,
        before: RetryBudget,
        now: Duration,
        reports: List<RetryUse>?,
    ): RetryBudget {
        val fleet = FleetRetries(
            peers = reports?.filterIndexed { i, _ -> i != node }
                ?.fold(RetryUse()) { sum, use -> sum + use } ?: RetryUse(),
            heardNodes = if (isShared) case.nodes else 0,
            knownNodes = case.nodes,
        )
        var budget = before
        while (waiting[node] > 0 && budget.allows(now, fleet, SLACK)) {
            budget = budget.withDispatches(now, retries = 1)
            waiting = waiting.mapIndexed { i, count -> if (i == node) count - 1 else count }
            granted++
        }
        return budget
    }

    /** The budget of the whole fleet in the window that ends with the run. */
    val limit: Int
        get() = (RATIO * case.nodes * FIRST_PER_NODE_SECOND * end.inWholeSeconds + SLACK).toInt()
}

class ZoneLossRetrySurgeTest :
    FunSpec({
        context("streams lost with their data centre go on if the fleet's budget allows it") {
            withData(
                SurgeCase(nodes = 4, losses = 80, unevenShare = 0.9),
                SurgeCase(nodes = 16, losses = 80, unevenShare = 0.9),
                SurgeCase(nodes = 39, losses = 80, unevenShare = 0.5),
            ) { case ->
                val fleet = BudgetFleet(case, isShared = true).run()
                val fixedShares = BudgetFleet(case, isShared = false).run()
                println("${case.dataTestName()}: ${fleet.granted}, was ${fixedShares.granted}")
                fleet.granted shouldBe case.losses
            }
        }

        context("the fleet's budget holds against any number of losses") {
            withData(
                listOf(4, 16, 39, 100, 300).flatMap { nodes ->
                    listOf(0.0, 0.5, 1.0).map { SurgeCase(nodes, losses = 3000, it) }
                },
            ) { case ->
                val fleet = BudgetFleet(case, isShared = true).run()
                val fixedShares = BudgetFleet(case, isShared = false).run()
                fleet.granted shouldBeLessThanOrEqual fleet.limit
                fleet.granted shouldBeGreaterThanOrEqual fixedShares.granted
            }
        }
    })
