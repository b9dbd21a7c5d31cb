package org.bilberrycart.routing

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.model.Isolation
import org.bilberrycart.model.UpstreamId

private data class IsolationCase(
    val name: String,
    val engines: Int,
    val events: List<RoutingEvent>,
    val actions: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private fun apart(request: String) = isolated(request, Isolation.APART)

private fun alone(request: String) = isolated(request, Isolation.ALONE)

private fun isolated(request: String, isolation: Isolation): RoutingEvent.Place =
    place(request).let { it.copy(placement = it.placement.copy(isolation = isolation)) }

class IsolatedWorkTest :
    FunSpec({
        context("work that may crash its upstream is kept apart from other work") {
            withData(
                IsolationCase(
                    "suspects go to engines with the fewest suspects",
                    engines = 2,
                    listOf(apart("s1"), place("p1"), apart("s2"), apart("s3"), apart("s4")),
                    listOf("s1>e0", "p1>e1", "s2>e1", "s3>e0", "s4>e1"),
                ),
                IsolationCase(
                    "work that must run alone takes an empty engine and keeps other work out",
                    engines = 2,
                    listOf(place("p1"), alone("s1"), place("p2"), place("p3")),
                    listOf("p1>e0", "s1>e1", "p2>e0", "p3>e0"),
                ),
                IsolationCase(
                    "the engine takes other work again after exclusive work has ended",
                    engines = 2,
                    listOf(place("p1"), alone("s1"), ended("s1", "e1"), place("p2"), place("p3")),
                    listOf("p1>e0", "s1>e1", "p2>e0", "p3>e1"),
                ),
                IsolationCase(
                    "if no engine is empty, the least loaded one is drained",
                    engines = 2,
                    listOf(
                        place("p1"),
                        place("p2"),
                        place("p3"),
                        alone("s1"),
                        place("p4"),
                        place("p5"),
                        ended("p2", "e1"),
                    ),
                    listOf("p1>e0", "p2>e1", "p3>e0", "p4>e0", "p5>e0", "s1>e1"),
                ),
                IsolationCase(
                    "work behind exclusive work in the queue does not wait for it",
                    engines = 1,
                    listOf(
                        place("p1"),
                        place("p2"),
                        place("p3"),
                        place("p4"),
                        alone("s1"),
                        place("p5"),
                        ended("p1", "e0"),
                    ),
                    listOf("p1>e0", "p2>e0", "p3>e0", "p4>e0", "p5>e0"),
                ),
                IsolationCase(
                    "an engine that another node drains takes no other work",
                    engines = 2,
                    listOf(
                        RoutingEvent.UpstreamClosed(UpstreamId("e0"), 30.seconds),
                        place("p1"),
                        ended("p1", "e1"),
                        alone("s1"),
                    ),
                    listOf("p1>e1", "s1>e1"),
                ),
            ) { case ->
                val run = RoutingRun(*Array(case.engines) { engine("e$it", slots = 4) })
                case.events.flatMap(run::step) shouldBe case.actions
            }
        }
    })
