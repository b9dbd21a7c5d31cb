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
    RoutingEvent.Leaving(UpstreamId(id), incarnation)

private fun report(id: String, running: Int, incarnation: Long = 0, slots: Int = 2) =
    RoutingEvent.LoadReported(UpstreamId(id), LoadReport(slots, running, 0, incarnation))

class RoutingFilterTest :
    FunSpec({
        context("an attempt goes to an upstream that can do its work") {
            withData(
                PlaceCase(
                    "each in turn",
                    listOf(engine("a"), engine("b")),
                    listOf(place("1"), place("2"), place("3")),
                    listOf("1>a", "2>b", "3>a"),
                ),
                PlaceCase(
                    "never to another model version",
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
                    "not to an engine to avoid",
                    listOf(engine("a"), engine("b")),
                    listOf(place("1", number = 2, avoid = setOf("a"))),
                    listOf("1>b"),
                ),
                PlaceCase(
                    "to an engine to avoid when no other is left",
                    listOf(engine("a"), engine("b")),
                    listOf(leaving("b"), place("1", number = 2, avoid = setOf("a"))),
                    listOf("1>a"),
                ),
                PlaceCase(
                    "not to a leaving engine, also when the news came before a configuration",
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
                    "a report of the incarnation that leaves does not bring it back",
                    listOf(engine("a")),
                    listOf(leaving("a", 3), report("a", running = 0, incarnation = 3), place("1")),
                    listOf("1!NO_UPSTREAM"),
                ),
                PlaceCase(
                    "a higher incarnation brings it back",
                    listOf(engine("a")),
                    listOf(leaving("a", 3), report("a", running = 0, incarnation = 4), place("1")),
                    listOf("1>a"),
                ),
                PlaceCase(
                    "not to an engine that other nodes fill",
                    listOf(engine("a"), engine("b")),
                    listOf(report("a", running = 2), place("1"), place("2")),
                    listOf("1>b", "2>b"),
                ),
                PlaceCase(
                    "not to an engine that refused for want of a slot",
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

        context("an attempt without a slot waits in the order of its urgency") {
            withData(
                PlaceCase(
                    "resumed work first, then short questions, then long drafts",
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
                    "a new configuration with room lets it go on",
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

        context("a wait ends with a numbered code") {
            withData(
                TimedCase(
                    "at the deadline",
                    listOf(place("1"), place("2", deadline = 5.seconds)),
                    wait = 5.seconds,
                    RoutingEvent.Tick,
                    listOf("2!DEADLINE_PASSED"),
                ),
                TimedCase(
                    "not before the deadline",
                    listOf(place("1"), place("2", deadline = 5.seconds)),
                    wait = 4.seconds,
                    RoutingEvent.Tick,
                    emptyList(),
                ),
                TimedCase(
                    "a resumed generation when no engine of its model appears in time",
                    listOf(leaving("a"), place("1", number = 2)),
                    wait = PLAIN.resumeWait,
                    RoutingEvent.Tick,
                    listOf("1!NO_MATCHING_ENGINE"),
                ),
                TimedCase(
                    "a resumed generation goes on when an engine appears in time",
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
            val run = RoutingRun(engine("a", slots = 1), routing = PLAIN.copy(queueLimit = 1))
            run.step(place("1"))
            run.step(place("draft", requestClass = RequestClass.LONG_DRAFT))
            run.step(place("short")) shouldBe listOf("draft!OVERLOADED")
        }

        context("an attempt is placed once and ends once") {
            withData(
                PlaceCase("placed twice", listOf(engine("a")), listOf(place("1")), emptyList()),
                PlaceCase(
                    "ended twice",
                    listOf(engine("a")),
                    listOf(ended("1", "a"), ended("1", "a")),
                    emptyList(),
                ),
                PlaceCase(
                    "ended elsewhere",
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
