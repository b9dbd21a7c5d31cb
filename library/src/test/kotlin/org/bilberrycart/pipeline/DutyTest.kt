package org.bilberrycart.pipeline

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlinx.collections.immutable.persistentListOf

/**
 * A duty whose second of three events fails.
 *
 * @property place what fails: the filter, or the first of the two actions of the step.
 * @property executed the actions that are executed, in order.
 * @property hasEnded whether the thread ends.
 */
private data class FailureCase(
    val name: String,
    val place: FailingPlace,
    val cause: Throwable,
    val executed: String,
    val hasEnded: Boolean = false,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private enum class FailingPlace { FILTER, ACTION }

private const val WAIT_SECONDS = 30L

class DutyTest :
    FunSpec({
        // Guards against a thread that ends, or drops what is left of a step, without a trace.
        context("a failure harms one event or one action, or ends the duty audibly") {
            withData(
                FailureCase(
                    "an exception of the filter",
                    FailingPlace.FILTER,
                    IllegalStateException("planted"),
                    "1a 1b 3a 3b",
                ),
                FailureCase(
                    "a stack overflow of the filter",
                    FailingPlace.FILTER,
                    StackOverflowError("planted"),
                    "1a 1b 3a 3b",
                ),
                FailureCase(
                    "an exception of an action",
                    FailingPlace.ACTION,
                    IllegalStateException("planted"),
                    "1a 1b 2b 3a 3b",
                ),
                FailureCase(
                    "a stack overflow of an action",
                    FailingPlace.ACTION,
                    StackOverflowError("planted"),
                    "1a 1b 2b 3a 3b",
                ),
                FailureCase(
                    "no memory for the filter",
                    FailingPlace.FILTER,
                    OutOfMemoryError("planted"),
                    "1a 1b",
                    hasEnded = true,
                ),
                FailureCase(
                    "no memory for an action",
                    FailingPlace.ACTION,
                    OutOfMemoryError("planted"),
                    "1a 1b",
                    hasEnded = true,
                ),
            ) { case ->
                val executed = ConcurrentLinkedQueue<String>()
                val ended = CountDownLatch(1)
                val failures = ConcurrentLinkedQueue<Throwable>()
                val duty = Duty(
                    name = "test",
                    ring = Ring<Int>("test", capacity = 8),
                    initial = Unit,
                    filter = { state, event, _ ->
                        if (event == 2 && case.place == FailingPlace.FILTER) throw case.cause
                        Step(state, persistentListOf("${event}a", "${event}b"))
                    },
                    clock = Clock(),
                    sink = { action ->
                        if (action == "2a" && case.place == FailingPlace.ACTION) throw case.cause
                        executed += action
                    },
                    onFailure = { _, cause -> failures += cause },
                    onEnded = { ended.countDown() },
                )
                listOf(1, 2, 3).forEach { duty.ring.put(it) }
                duty.start()
                duty.close()
                executed.joinToString(" ") shouldBe case.executed
                if (case.hasEnded) ended.await(WAIT_SECONDS, TimeUnit.SECONDS)
                (ended.count == 0L) shouldBe case.hasEnded
                failures.toList() shouldBe if (case.hasEnded) emptyList() else listOf(case.cause)
            }
        }
    })
