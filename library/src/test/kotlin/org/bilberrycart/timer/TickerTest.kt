package org.bilberrycart.timer

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds
import org.bilberrycart.pipeline.Ring

/** A ticker of two targets, the first of which throws [cause] at each tick. */
private data class FailingTargetCase(val cause: Throwable, val hasEnded: Boolean) :
    WithDataTestName {
    override fun dataTestName(): String = cause.javaClass.simpleName
}

private const val WAIT_SECONDS = 30L
private const val TICKS = 3

class TickerTest :
    FunSpec({
        // Guards against a timer that ends unnoticed, so that no timeout is ever checked again.
        context("a failing target harms no other target, or ends the timer audibly") {
            withData(
                FailingTargetCase(IllegalStateException("planted"), hasEnded = false),
                FailingTargetCase(OutOfMemoryError("planted"), hasEnded = true),
            ) { case ->
                val ticks = CountDownLatch(TICKS)
                val ended = CountDownLatch(1)
                val ticker = Ticker(
                    1.milliseconds,
                    listOf(
                        Ticker.Target<Int>(Ring("failing", capacity = 1)) { throw case.cause },
                        Ticker.Target(Ring("sound", capacity = 1)) { 1.also { ticks.countDown() } },
                    ),
                    onEnded = { ended.countDown() },
                )
                ticker.start()
                val awaited = if (case.hasEnded) ended else ticks
                awaited.await(WAIT_SECONDS, TimeUnit.SECONDS) shouldBe true
                (ended.count == 0L) shouldBe case.hasEnded
                ticker.close()
            }
        }
    })
