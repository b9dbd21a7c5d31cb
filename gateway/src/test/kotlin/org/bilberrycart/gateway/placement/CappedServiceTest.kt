package org.bilberrycart.gateway.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.gateway.Samples
import org.bilberrycart.gateway.model.AnswerHead
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.model.UpstreamAnswer
import org.bilberrycart.gateway.model.UpstreamId
import org.bilberrycart.gateway.placement.PlacementRun.Companion.attempt

/** Calls arrive every 100 ms, while the upstreams [capped] name a limit of 2 a second. */
private data class CappedCase(
    val name: String,
    val retryRule: RetryRule,
    val capped: Set<String>,
    val mostAtCapped: Int,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

/** An answer that names no limit, from an upstream that named one. */
private data class LimitEndCase(
    val name: String,
    val change: (AnswerHead) -> AnswerHead,
    val isEnded: Boolean,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private const val LIMIT = 2.0
private const val CALLS = 100
private val upstreams = setOf("a", "b", "c")

private fun answerNaming(limit: Double?, key: Long): UpstreamAnswer =
    Samples.answer(200, id = "r$key").let { it.copy(head = it.head.copy(rateLimit = limit)) }

/** One of four nodes that serve calls to the upstreams a, b and c. */
private class CappedRun(private val retryRule: RetryRule) {
    val run = PlacementRun().apply {
        register("a", "b", "c")
        val share = NodeShare("me", setOf("x", "y", "z"))
        step(PlacementEvent.PeerReport(persistentMapOf(), persistentMapOf(), share = share))
    }

    /** Submits call [key] and returns the upstream that it goes to, or what else happens. */
    fun submit(key: Long): String {
        val route = Samples.route(retryRule, attempts = 3)
        val call = Samples.call(route, key, arrivedAt = run.now)
        val action = run.step(PlacementEvent.Submit(call)).singleOrNull().orEmpty()
        return if (action.startsWith("send ")) action.split(' ')[1] else action
    }

    /** Lets the upstream of call [key] answer; it names [limit]. */
    fun answer(key: Long, limit: Double?) {
        if (retryRule is RetryRule.Stream) {
            run.step(PlacementEvent.StreamOpened(attempt(call = key), limit))
            run.step(PlacementEvent.StreamProgressed(attempt(call = key)))
            run.step(PlacementEvent.StreamCompleted(attempt(call = key)))
        } else {
            run.step(PlacementEvent.Answered(attempt(call = key), answerNaming(limit, key)))
        }
    }

    /** Submits [count] calls, 100 ms apart, of which those sent to [capped] name the limit. */
    fun serve(count: Int, capped: Set<String>, firstKey: Long = 1): List<String> =
        (0 until count).map { i ->
            val upstream = submit(firstKey + i)
            answer(firstKey + i, LIMIT.takeIf { upstream in capped })
            run.advance(100.milliseconds)
            upstream
        }
}

class CappedServiceTest :
    FunSpec({
        // Guards against an upstream that gets far more requests than the limit that it named.
        context("one of four nodes sends its part of the limit to the upstreams that name one") {
            withData(
                CappedCase("one of three", RetryRule.Idempotent, setOf("c"), mostAtCapped = 7),
                CappedCase("two of three", RetryRule.AtMostOnce, setOf("b", "c"), 14),
                CappedCase("streams", RetryRule.Stream(true), setOf("b", "c"), 14),
                CappedCase("all three", RetryRule.AtMostOnce, upstreams, 21),
            ) { case ->
                val sent = CappedRun(case.retryRule).serve(CALLS, case.capped)
                sent.count { it in case.capped } shouldBeLessThanOrEqual case.mostAtCapped
                val open = upstreams - case.capped
                if (open.isNotEmpty()) upstreams shouldContainAll sent
            }
        }

        test("a call that the limits of all upstreams let go too late is rejected at once") {
            val capped = CappedRun(RetryRule.AtMostOnce)
            capped.serve(3, upstreams)
            capped.submit(key = 9) shouldBe "refuse not run"
        }

        test("a call that a limit delays only briefly is sent when it may be") {
            val capped = CappedRun(RetryRule.AtMostOnce)
            capped.serve(10, upstreams)
            val isWaiting = { key: Long ->
                capped.run.advance(20.milliseconds)
                capped.submit(key).isEmpty()
            }
            (20L until 60L).any(isWaiting) shouldBe true
            capped.run.advance(360.milliseconds).count { it.startsWith("send") } shouldBe 1
        }

        test("a retry counts against the limit") {
            val capped = CappedRun(RetryRule.Idempotent)
            capped.serve(9, upstreams)
            capped.run.advance(2.seconds)
            capped.submit(key = 50)
            capped.run.step(PlacementEvent.AttemptFailed(attempt(call = 50), "reset"))
            val spentNow = capped.run.state.upstreams.values.count {
                it.rateLimit?.lastSentAt == capped.run.now
            }
            spentNow shouldBe 2
        }

        context("the next answer without a limit") {
            withData(
                LimitEndCase("an answer ends it", change = { it }, isEnded = true),
                LimitEndCase("a rejection", { it.copy(status = 503, didNotRun = true) }, false),
                LimitEndCase("an unsigned answer", { it.copy(isSigned = false) }, false),
                LimitEndCase("another upstream", { it.copy(isMisdirected = true) }, false),
            ) { case ->
                val capped = CappedRun(RetryRule.AtMostOnce)
                capped.serve(1, upstreams)
                capped.run.advance(20.seconds)
                val upstream = UpstreamId(capped.submit(100))
                val sound = answerNaming(limit = null, key = 100)
                val answer = sound.copy(head = case.change(sound.head))
                capped.run.step(PlacementEvent.Answered(attempt(call = 100), answer))
                val limit = capped.run.state.upstreams.getValue(upstream).rateLimit
                (limit == null) shouldBe case.isEnded
            }
        }
    })
