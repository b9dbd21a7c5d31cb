package org.bilberrycart.gateway.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.gateway.Samples
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.PartReport
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.placement.PlacementRun.Companion.attempt

private data class NextCallCase(
    val name: String,
    val parts: List<String>,
    val actions: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private val route =
    Samples.route(RetryRule.Stream(isResumable = true), 5, timeout = 25.seconds, 4.seconds)

/** Returns a call unlike all others that has [parts] in its prompt. */
private fun call(key: Long, parts: List<String>) =
    Samples.call(route, key, parts = parts, body = Body.of("text $key"))

private fun PlacementRun.submit(key: Long, parts: List<String>): List<String> =
    step(PlacementEvent.Submit(call(key, parts))).map { it.substringBefore(' ') }

/** Lets the upstream of call [key] begin to answer and crash before its first event. */
private fun PlacementRun.crash(key: Long): List<String> {
    now += 1500.milliseconds
    step(PlacementEvent.StreamOpened(attempt(call = key)))
    now += 80.milliseconds
    return step(PlacementEvent.AttemptFailed(attempt(call = key), "reset"))
}

class CrashingPartTest :
    FunSpec({
        fun run() = PlacementRun().apply {
            register("a", "b", "c", "d", "e", "f", "g", "h")
            val share = NodeShare("me", setOf("x", "y", "z"))
            step(PlacementEvent.PeerReport(persistentMapOf(), persistentMapOf(), share = share))
        }

        // Guards against requests that crash one engine after the other by a part they share.
        context("after three calls of different content crashed engines by a shared part") {
            withData(
                NextCallCase(
                    "a call with the part is refused",
                    listOf("s", "bad"),
                    listOf("refuse"),
                ),
                NextCallCase(
                    "the order of parts is no matter",
                    listOf("bad", "t"),
                    listOf("refuse"),
                ),
                NextCallCase("a call with the other part is sent", listOf("s"), listOf("send")),
                NextCallCase("a call without shared parts is sent", emptyList(), listOf("send")),
            ) { case ->
                val run = run()
                (1L..3L).forEach {
                    run.submit(it, listOf("s", "bad"))
                    run.crash(it)
                }
                run.submit(key = 9, case.parts) shouldBe case.actions
            }
        }

        test("calls with the part that engines still read are cancelled when it is blocked") {
            val run = run()
            (1L..4L).forEach { run.submit(it, listOf("s", "bad")) }
            (1L..2L).forEach { run.crash(it) }
            val actions = run.crash(3)
            actions.count { it.startsWith("cancel") } shouldBe 3
            actions.count { it == "refuse broken" } shouldBe 1
            actions.count { it == "abort" } shouldBe 3
            run.state.upstreams.values.count { it.downUntil != null } shouldBe 3
            run.state.calls.size shouldBe 0
        }

        test("a part that another node reports is blocked at once") {
            val run = run()
            val report = PartReport(blockedAges = mapOf("bad" to 10))
            run.step(
                PlacementEvent.PeerReport(
                    persistentMapOf(),
                    persistentMapOf(),
                    partReports = persistentListOf(report),
                ),
            )
            run.submit(key = 1, listOf("s", "bad")) shouldBe listOf("refuse")
        }

        test("an engine that breaks off later in its answer does not count") {
            val run = run()
            (1L..6L).forEach {
                run.submit(it, listOf("s"))
                run.now += 1.seconds
                run.step(PlacementEvent.StreamOpened(attempt(call = it)))
                run.step(PlacementEvent.StreamProgressed(attempt(call = it)))
                run.now += 300.milliseconds
                run.step(PlacementEvent.StreamProgressed(attempt(call = it)))
                run.step(PlacementEvent.AttemptFailed(attempt(call = it), "reset"))
            }
            run.submit(key = 9, listOf("s")) shouldBe listOf("send")
        }
    })
