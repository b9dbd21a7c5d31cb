package org.bilberrycart.routing

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.model.AttemptOutcome
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.pipeline.InvariantViolation

private data class PlaceCase(
    val name: String,
    val upstreams: List<Upstream>,
    val events: List<RoutingEvent>,
    val actions: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private data class TimedCase(
    val name: String,
    val events: List<RoutingEvent>,
    val wait: Duration,
    val last: RoutingEvent,
    val actions: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private fun leaving(id: String, incarnation: Long = 0) =
    RoutingEvent.UpstreamLeaving(UpstreamId(id), incarnation)

private fun report(id: String, running: Int, incarnation: Long = 0, slots: Int = 2) =
    RoutingEvent.LoadReported(UpstreamId(id), LoadReport(slots, running, 0, incarnation))

class RoutingFilterTest :
    FunSpec({
        context("an attempt is dispatched to an upstream that can run it") {
            withData(
                PlaceCase(
                    "round robin uses the engines in turn",
                    listOf(engine("a"), engine("b")),
                    listOf(place("1"), place("2"), place("3")),
                    listOf("1>a", "2>b", "3>a"),
                ),
                PlaceCase(
                    "an engine with another model version is not used",
                    listOf(engine("a", model = ModelRef("m", version = "2")), engine("b")),
                    listOf(place("1"), place("2")),
                    listOf("1>b", "2>b"),
                ),
                PlaceCase(
                    "a first attempt without a matching engine is refused",
                    listOf(engine("a", model = ModelRef("other"))),
                    listOf(place("1")),
                    listOf("1!NO_UPSTREAM"),
                ),
                PlaceCase(
                    "an engine to avoid is not used",
                    listOf(engine("a"), engine("b")),
                    listOf(place("1", number = 2, avoid = setOf("a"))),
                    listOf("1>b"),
                ),
                PlaceCase(
                    "an engine to avoid is used if there is no other",
                    listOf(engine("a"), engine("b")),
                    listOf(leaving("b"), place("1", number = 2, avoid = setOf("a"))),
                    listOf("1>a"),
                ),
                PlaceCase(
                    "an engine that announced that it leaves before it was configured is not used",
                    listOf(engine("b")),
                    listOf(
                        leaving("a"),
                        RoutingEvent.Configured(listOf(engine("a"), engine("b"))),
                        place("1"),
                        place("2"),
                    ),
                    listOf("1>b", "2>b"),
                ),
                PlaceCase(
                    "a load report of the leaving incarnation does not make the engine available",
                    listOf(engine("a")),
                    listOf(leaving("a", 3), report("a", running = 0, incarnation = 3), place("1")),
                    listOf("1!NO_UPSTREAM"),
                ),
                PlaceCase(
                    "a load report of a higher incarnation makes the engine available again",
                    listOf(engine("a")),
                    listOf(leaving("a", 3), report("a", running = 0, incarnation = 4), place("1")),
                    listOf("1>a"),
                ),
                PlaceCase(
                    "an engine that other nodes fill is not used",
                    listOf(engine("a"), engine("b")),
                    listOf(report("a", running = 2), place("1"), place("2")),
                    listOf("1>b", "2>b"),
                ),
                PlaceCase(
                    "an engine that refused work because it was full is not used",
                    listOf(engine("a"), engine("b")),
                    listOf(
                        place("1"),
                        ended("1", "a", AttemptOutcome.Lost(LossCause.REFUSED)),
                        place("2"),
                        place("3"),
                    ),
                    listOf("1>a", "2>b", "3>b"),
                ),
            ) { case ->
                val run = RoutingRun(*case.upstreams.toTypedArray())
                case.events.flatMap(run::step) shouldBe case.actions
            }
        }

        context("attempts without a slot wait in the order of their urgency") {
            withData(
                PlaceCase(
                    "resumed work comes first, then short questions, then long drafts",
                    listOf(engine("a", slots = 1)),
                    listOf(
                        place("1"),
                        place("draft", requestClass = RequestClass.LONG_DRAFT),
                        place("short"),
                        place("resumed", number = 2, requestClass = RequestClass.LONG_DRAFT),
                        ended("1", "a"),
                        ended("resumed", "a", number = 2),
                        ended("short", "a"),
                    ),
                    listOf("1>a", "resumed>a", "short>a", "draft>a"),
                ),
                PlaceCase(
                    "a withdrawn attempt is not placed",
                    listOf(engine("a", slots = 1)),
                    listOf(
                        place("1"),
                        place("2"),
                        RoutingEvent.Withdraw(place("2").placement.attempt),
                        ended("1", "a"),
                    ),
                    listOf("1>a"),
                ),
                PlaceCase(
                    "a new configuration with free slots places the waiting attempt",
                    listOf(engine("a", slots = 1)),
                    listOf(
                        place("1"),
                        place("2"),
                        RoutingEvent.Configured(listOf(engine("a", slots = 1), engine("b"))),
                    ),
                    listOf("1>a", "2>b"),
                ),
            ) { case ->
                val run = RoutingRun(*case.upstreams.toTypedArray())
                case.events.flatMap(run::step) shouldBe case.actions
            }
        }

        context("a wait that takes too long ends with a result code") {
            withData(
                TimedCase(
                    "the wait ends at the deadline",
                    listOf(place("1"), place("2", deadline = 5.seconds)),
                    wait = 5.seconds,
                    RoutingEvent.Tick,
                    listOf("2!DEADLINE_PASSED"),
                ),
                TimedCase(
                    "the wait does not end before the deadline",
                    listOf(place("1"), place("2", deadline = 5.seconds)),
                    wait = 4.seconds,
                    RoutingEvent.Tick,
                    emptyList(),
                ),
                TimedCase(
                    "a resumed generation fails if no engine of its model appears in time",
                    listOf(leaving("a"), place("1", number = 2)),
                    wait = NO_RESERVES.resumeWait,
                    RoutingEvent.Tick,
                    listOf("1!NO_MATCHING_ENGINE"),
                ),
                TimedCase(
                    "a resumed generation is dispatched if an engine appears in time",
                    listOf(leaving("a"), place("1", number = 2)),
                    wait = 1.seconds,
                    RoutingEvent.Configured(listOf(engine("b"))),
                    listOf("1>b"),
                ),
                TimedCase(
                    "a placement after its deadline is refused at once",
                    emptyList(),
                    wait = 5.seconds,
                    place("1", deadline = 5.seconds),
                    listOf("1!DEADLINE_PASSED"),
                ),
            ) { case ->
                val run = RoutingRun(engine("a", slots = 1))
                case.events.forEach(run::step)
                run.now += case.wait
                run.step(case.last) shouldBe case.actions
            }
        }

        test("a full queue refuses the least urgent placement") {
            val run = RoutingRun(engine("a", slots = 1), routing = NO_RESERVES.copy(queueLimit = 1))
            run.step(place("1"))
            run.step(place("draft", requestClass = RequestClass.LONG_DRAFT))
            run.step(place("short")) shouldBe listOf("draft!OVERLOADED")
        }

        context("a second placement or end of an attempt violates an invariant") {
            withData(
                PlaceCase(
                    "the attempt is placed twice",
                    listOf(engine("a")),
                    listOf(place("1")),
                    emptyList(),
                ),
                PlaceCase(
                    "the attempt ends twice",
                    listOf(engine("a")),
                    listOf(ended("1", "a"), ended("1", "a")),
                    emptyList(),
                ),
                PlaceCase(
                    "the attempt ends on another upstream than it was dispatched to",
                    listOf(engine("a"), engine("b")),
                    listOf(ended("1", "b")),
                    emptyList(),
                ),
            ) { case ->
                val run = RoutingRun(*case.upstreams.toTypedArray())
                run.step(place("1"))
                shouldThrow<InvariantViolation> { case.events.forEach(run::step) }
            }
        }
    })
