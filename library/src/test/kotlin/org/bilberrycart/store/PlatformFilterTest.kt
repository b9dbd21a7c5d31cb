package org.bilberrycart.store

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.pipeline.Step

private data class Ctx(val n: Int) : StoreContext

private val key = RowKey("t", "a")
private val filter = PlatformFilter()

private fun write(n: Int, deadline: Duration = 10.seconds) = PlatformEvent.Write(
    Ctx(n),
    WriteGroup.of(RowWrite(key, Condition.Absent, "v")),
    deadline,
)

private fun read(n: Int, deadline: Duration = 10.seconds) =
    PlatformEvent.Read(Ctx(n), key, deadline)

private fun run(
    vararg events: Pair<Duration, PlatformEvent>,
    state: PlatformState = PlatformState(),
): Step<PlatformState, PlatformAction> =
    events.fold(Step<PlatformState, PlatformAction>(state)) { step, (at, event) ->
        val next = filter.step(step.state, event, at)
        Step(next.state, (step.actions + next.actions).toPersistentList())
    }

private fun failed(id: Long, failure: StoreFailure, mayHaveApplied: Boolean) =
    PlatformEvent.ExchangeEnded(id, StoreReply.Failed(failure, mayHaveApplied))

private data class FailureCase(
    val name: String,
    val call: PlatformEvent.Call,
    val failure: StoreFailure,
    val mayHaveApplied: Boolean,
    val result: StoreResult?,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private data class BreakerCase(
    val name: String,
    val events: List<Pair<Duration, PlatformEvent>>,
    val lastResult: StoreResult?,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private fun outage(): List<Pair<Duration, PlatformEvent>> = (1..3).flatMap { n ->
    val at = (n * 10).milliseconds
    listOf(
        at to read(n, deadline = at + 20.milliseconds),
        at to failed(n.toLong(), StoreFailure.REFUSED, mayHaveApplied = true),
    )
}

class PlatformFilterTest :
    FunSpec({
        context("a failed exchange is retried only if it certainly had no effect") {
            val timedOut = StoreFailure.TIMED_OUT
            val overRate = StoreFailure.OVER_RATE
            withData(
                FailureCase("write that timed out", write(1), timedOut, true, unknown(timedOut)),
                FailureCase("write over the rate limit", write(1), overRate, false, result = null),
                FailureCase("read that timed out", read(1), timedOut, true, result = null),
                FailureCase(
                    "no time for a retry before the deadline",
                    read(1, deadline = 10.milliseconds),
                    timedOut,
                    true,
                    StoreResult.Unavailable(timedOut),
                ),
            ) { case ->
                val step = run(
                    Duration.ZERO to case.call,
                    1.milliseconds to failed(1, case.failure, case.mayHaveApplied),
                )
                val finished = step.actions.filterIsInstance<PlatformAction.Finish>()
                finished.map { it.result } shouldBe listOfNotNull(case.result)
                val later = filter.step(step.state, PlatformEvent.Tick, 1.seconds)
                val isRetried = later.state.inFlight.isNotEmpty()
                isRetried shouldBe (case.result == null)
            }
        }

        context("after three failures in a row calls are refused until a probe succeeds") {
            withData(
                BreakerCase("breaker open", outage() + (60.milliseconds to read(4)), circuitOpen),
                BreakerCase(
                    "call sent as the probe",
                    outage() + (2.seconds to read(4)),
                    lastResult = null,
                ),
                BreakerCase(
                    "call refused while a probe is in flight",
                    outage() + (2.seconds to read(4)) + (2.seconds to read(5)),
                    circuitOpen,
                ),
                BreakerCase(
                    "breaker closed by a successful probe",
                    outage() + (2.seconds to read(4)) +
                        (2.seconds to PlatformEvent.ExchangeEnded(4, found)) +
                        (2.seconds to read(5)),
                    lastResult = null,
                ),
            ) { case ->
                val step = run(*case.events.toTypedArray())
                val lastContext = case.events.map {
                    it.second
                }.filterIsInstance<PlatformEvent.Read>()
                    .last().context
                step.actions.filterIsInstance<PlatformAction.Finish>()
                    .filter { it.context == lastContext }
                    .map { it.result } shouldBe listOfNotNull(case.lastResult)
            }
        }

        test("groups that wait while transactions are in flight share the next one") {
            val waiting = (1..9).map { Duration.ZERO to write(it) }.toTypedArray()
            val results = persistentListOf<StoreResult>(StoreResult.Applied(1))
            val step = run(
                *waiting,
                100.milliseconds to PlatformEvent.ExchangeEnded(1, StoreReply.Groups(results)),
            )
            step.actions.filterIsInstance<PlatformAction.SendTransaction>()
                .map { it.groups.size } shouldBe listOf(1, 1, 7)
        }

        test("a queued call finishes as expired at its deadline") {
            val singleTransaction = PlatformState(PlatformLimits(maxTransactionsInFlight = 1))
            val step = run(
                Duration.ZERO to write(1),
                Duration.ZERO to write(2, deadline = 1.seconds),
                1.seconds to PlatformEvent.Tick,
                state = singleTransaction,
            )
            step.actions.filterIsInstance<PlatformAction.Finish>() shouldBe listOf(
                PlatformAction.Finish(Ctx(2), StoreResult.Unavailable(StoreFailure.EXPIRED)),
            )
        }
    })

private val found = StoreReply.Read(StoreResult.Found(row = null))
private val circuitOpen = StoreResult.Unavailable(StoreFailure.CIRCUIT_OPEN)

private fun unknown(failure: StoreFailure) = StoreResult.UnknownOutcome(failure)
