package org.bilberrycart.gateway.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private data class QuotaCase(val limit: Double, val nodes: Int, val senders: Int) :
    WithDataTestName {
    override fun dataTestName(): String = "$limit a second, $nodes nodes"
}

/**
 * All nodes have calls for an upstream that names a limit.
 *
 * @property demand the calls a second that each node would send to the upstream.
 * @property restarts whether each node once forgets the limit, learns it anew and starts again.
 */
private data class CappedLoadCase(
    val limit: Double,
    val nodes: Int,
    val demand: Double,
    val restarts: Boolean = false,
) : WithDataTestName {
    override fun dataTestName(): String =
        "$limit a second, $nodes nodes with $demand calls a second, restarts $restarts"
}

private val step = 10.milliseconds
private val length = 60.seconds

/** The span over which the platform counts the requests that an upstream gets. */
private val countingSpan = 4.seconds

/** Returns when the upstream got requests. */
private fun sendTimes(case: CappedLoadCase, seed: Int): List<Duration> {
    val random = Random(seed)
    val quotas = (0 until case.nodes).map { RateQuota.of(case.limit, rank = it, case.nodes) }
    var limits = quotas.map { RateLimit(case.limit, Duration.ZERO, lastSentAt = it.trialOffset) }
    val times = generateSequence(Duration.ZERO) { it + step }.takeWhile { it < length }
    return times.flatMap { now ->
        val restarting = (now.inWholeMilliseconds / 1000).toInt()
        if (case.restarts && now.inWholeMilliseconds % 1000 == 0L && restarting < case.nodes) {
            val limit =
                RateLimit(case.limit, now, lastSentAt = now + quotas[restarting].trialOffset)
            limits = limits.mapIndexed { i, known -> if (i == restarting) limit else known }
        }
        val senders = limits.indices.filter { node ->
            random.nextDouble() < case.demand * (step / 1.seconds) &&
                limits[node].waitTime(quotas[node], now) == Duration.ZERO
        }
        limits = limits.mapIndexed { node, limit ->
            if (node in senders) limit.spent(quotas[node], now) else limit
        }
        senders.map { now }
    }.toList()
}

private fun mostInSpan(times: List<Duration>): Int =
    times.indices.maxOfOrNull { i -> times.drop(i).count { it < times[i] + countingSpan } } ?: 0

class RateQuotaTest :
    FunSpec({
        context("the limit is divided among the senders") {
            withData(
                QuotaCase(limit = 0.0, nodes = 4, senders = 0),
                QuotaCase(limit = 0.13, nodes = 4, senders = 2),
                QuotaCase(limit = 2.1, nodes = 4, senders = 4),
                QuotaCase(limit = 2.1, nodes = 39, senders = 4),
                QuotaCase(limit = 20.0, nodes = 39, senders = 22),
                QuotaCase(limit = 1e9, nodes = 330, senders = 330),
            ) { case ->
                val quotas = (0 until case.nodes).map { RateQuota.of(case.limit, it, case.nodes) }
                quotas.count { it.perSecond > 0 } shouldBe case.senders
                quotas.sumOf { it.perSecond } shouldBeLessThanOrEqual case.limit * 1.000001
            }
        }

        // Guards against an upstream that gets far more requests than the limit that it named.
        context("an upstream at its limit gets no more than it named, whatever the load") {
            withData(
                listOf(0.0, 0.13, 0.5, 2.1, 7.0, 20.0).flatMap { limit ->
                    listOf(1, 4, 39, 330).flatMap { nodes ->
                        listOf(0.05, 5.0).map { CappedLoadCase(limit, nodes, demand = it) }
                    }
                } + CappedLoadCase(limit = 2.1, nodes = 39, demand = 5.0, restarts = true),
            ) { case ->
                listOf(1, 2, 3).forEach { seed ->
                    val times = sendTimes(case, seed)
                    val allowed = 1.5 * case.limit * 4 + 5
                    mostInSpan(times).toDouble() shouldBeLessThanOrEqual allowed
                    mostInSpan(times) shouldBeLessThanOrEqual allowed.toInt()
                }
            }
        }

        context("nodes that have calls use most of the limit") {
            withData(
                CappedLoadCase(limit = 2.1, nodes = 4, demand = 5.0),
                CappedLoadCase(limit = 2.1, nodes = 39, demand = 5.0),
                CappedLoadCase(limit = 20.0, nodes = 39, demand = 5.0),
            ) { case ->
                val used = sendTimes(case, seed = 1).size
                used shouldBeGreaterThanOrEqual (case.limit * 60 * 0.8).toInt()
            }
        }
    })
