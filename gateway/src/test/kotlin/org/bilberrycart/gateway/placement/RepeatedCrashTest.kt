package org.bilberrycart.gateway.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.Samples
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.placement.PlacementRun.Companion.attempt

/**
 * Callers that send a call again and again that crashes each upstream which begins it.
 *
 * @property isListed whether the registry tells of each restart.
 * @property interval the time between two crashes.
 * @property sent how often the call is sent in all.
 */
private data class RepeatedCrashCase(
    val name: String,
    val upstreams: Int,
    val isListed: Boolean = true,
    val interval: Duration = 8.seconds,
    val sent: Int = 3,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private const val REPEATS = 12

/** Returns the entries of upstreams that started as process number [start] under their ids. */
private fun listed(upstreams: Int, start: Int) = PlacementEvent.UpstreamsListed(
    (0 until upstreams).map { Samples.entry("u$it", born = start.toLong()) }.toPersistentList(),
)

/** Sends the call once, lets its upstream crash, and returns how often it was sent. */
private fun crashOnce(run: PlacementRun, number: Int): Int {
    val route = Samples.route(RetryRule.Idempotent, attempts = 1, timeout = 25.seconds)
    val call = Samples.call(route, key = number.toLong(), arrivedAt = run.now)
    val sent = run.step(PlacementEvent.Submit(call)).count { it.startsWith("send") }
    run.step(PlacementEvent.AttemptFailed(attempt(1, call = number.toLong()), "reset"))
    return sent
}

class RepeatedCrashTest :
    FunSpec({
        // Guards against a call that crashes the same upstreams again and again, as each of them
        // counted once, and against a further try that several nodes take for themselves (BUDGET).
        context("a call that crashes upstreams is sent three times, however few they are") {
            withData(
                RepeatedCrashCase("one upstream, restarted under its id", upstreams = 1),
                RepeatedCrashCase("three upstreams, restarted under their ids", upstreams = 3),
                RepeatedCrashCase("three upstreams, unlisted", upstreams = 3, isListed = false),
                RepeatedCrashCase("six upstreams", upstreams = 6),
            ) { case ->
                val run = PlacementRun(startedAt = -1.minutes)
                val share = NodeShare("me", setOf("x", "y", "z"))
                run.step(
                    PlacementEvent.PeerReport(persistentMapOf(), persistentMapOf(), share = share),
                )
                run.step(listed(case.upstreams, start = 1))
                val sent = (1..REPEATS).sumOf { number ->
                    run.now += case.interval
                    if (case.isListed) run.step(listed(case.upstreams, start = number))
                    crashOnce(run, number)
                }
                sent shouldBe case.sent
            }
        }
    })
