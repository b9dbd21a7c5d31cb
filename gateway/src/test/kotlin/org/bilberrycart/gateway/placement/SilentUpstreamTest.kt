package org.bilberrycart.gateway.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.Samples
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.placement.PlacementRun.Companion.attempt

/**
 * A stream whose engines fall silent again and again for a second, in which they answer no probe
 * either, and then go on.
 */
private data class SilenceCase(
    val name: String,
    val upstreams: List<String> = listOf("ax", "by", "cx"),
    val attempts: Int = 5,
    val settings: PlacementSettings = PlacementSettings(),
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private const val SILENCES = 8

class SilentUpstreamTest :
    FunSpec({
        fun PlacementRun.currentAttempt(): Int? =
            state.calls[CallKey(1)]?.attempts?.keys?.singleOrNull()

        // Guards against a stream that is cut since its engines were silent for a moment (LOST).
        context("a stream is never broken off for the silence of engines that go on") {
            withData(
                SilenceCase("with engines to spare"),
                SilenceCase("with one attempt", attempts = 1),
                SilenceCase("with one engine", upstreams = listOf("ax")),
                SilenceCase(
                    "with no retry budget",
                    settings = PlacementSettings(retryRatio = 0.0, retrySlack = 0.0),
                ),
            ) { case ->
                val run = PlacementRun(case.settings)
                run.register(*case.upstreams.toTypedArray())
                val route = Samples.route(
                    RetryRule.Stream(isResumable = true),
                    case.attempts,
                    timeout = 25.seconds,
                    objective = 4.seconds,
                )
                run.step(PlacementEvent.Submit(Samples.call(route)))
                run.step(PlacementEvent.StreamOpened(attempt()))
                run.step(PlacementEvent.StreamProgressed(attempt()))
                repeat(SILENCES) {
                    run.advance(1.seconds) shouldNotContain "abort"
                    val number = checkNotNull(run.currentAttempt()) { "no attempt goes on" }
                    run.step(PlacementEvent.StreamProgressed(attempt(number)))
                }
                val last = attempt(run.currentAttempt()!!)
                run.step(PlacementEvent.StreamCompleted(last)) shouldBe listOf("forget")
            }
        }
    })
