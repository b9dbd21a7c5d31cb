package org.bilberrycart.gateway.lifecycle

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private data class LifecycleCase(
    val name: String,
    val before: LifecycleState,
    val event: LifecycleEvent,
    val at: Duration = 10.seconds,
    val actions: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

class LifecycleFilterTest :
    FunSpec({
        val draining = LifecycleState.Draining(since = 10.seconds)
        val limited = draining.copy(acceptsStreams = false, acceptsLongCalls = false)
        val closed = limited.copy(closedAt = 13.seconds)
        withData(
            LifecycleCase(
                "a node without upstreams is not ready",
                LifecycleState.Starting(hasConfiguration = false, hasUpstreams = false),
                LifecycleEvent.Configured,
                actions = emptyList(),
            ),
            LifecycleCase(
                "a node with configuration and upstreams is ready",
                LifecycleState.Starting(hasConfiguration = true, hasUpstreams = false),
                LifecycleEvent.UpstreamsListed,
                actions = listOf("ready true"),
            ),
            LifecycleCase(
                "a node that is asked to stop is not ready",
                LifecycleState.Serving,
                LifecycleEvent.Terminate,
                actions = listOf("ready false"),
            ),
            LifecycleCase(
                "a second request to stop changes nothing",
                draining,
                LifecycleEvent.Terminate,
                actions = emptyList(),
            ),
            LifecycleCase(
                "a draining node accepts everything for the first second",
                draining,
                LifecycleEvent.Tick(openCalls = 0),
                at = 10.9.seconds,
                actions = emptyList(),
            ),
            LifecycleCase(
                "a draining node refuses streams after one second",
                draining,
                LifecycleEvent.Tick(openCalls = 2),
                at = 11.seconds,
                actions = listOf("RefuseStreams"),
            ),
            LifecycleCase(
                "a draining node does not exit before the balancer stops sending callers",
                limited,
                LifecycleEvent.Tick(openCalls = 0),
                at = 13.seconds,
                actions = emptyList(),
            ),
            LifecycleCase(
                "a draining node stops accepting two seconds before its grace ends",
                limited,
                LifecycleEvent.Tick(openCalls = 2),
                at = 16.seconds,
                actions = listOf("StopAccepting"),
            ),
            LifecycleCase(
                "a draining node closes its connections when all calls are answered",
                limited,
                LifecycleEvent.Tick(openCalls = 0),
                at = 13.2.seconds,
                actions = listOf("StopAccepting"),
            ),
            LifecycleCase(
                "a draining node waits for requests that were read as its connections closed",
                closed,
                LifecycleEvent.Tick(openCalls = 0),
                at = 13.1.seconds,
                actions = emptyList(),
            ),
            LifecycleCase(
                "a draining node waits for open calls",
                closed,
                LifecycleEvent.Tick(openCalls = 1),
                at = 16.seconds,
                actions = emptyList(),
            ),
            LifecycleCase(
                "a draining node exits when all calls are answered",
                closed,
                LifecycleEvent.Tick(openCalls = 0),
                at = 13.3.seconds,
                actions = listOf("Exit(openCalls=0)"),
            ),
            LifecycleCase(
                "a draining node accepts long calls for as long as a cut would be excused",
                draining.copy(acceptsStreams = false),
                LifecycleEvent.Tick(openCalls = 1),
                at = 12.4.seconds,
                actions = emptyList(),
            ),
            LifecycleCase(
                "a draining node then refuses calls that may not end before they are broken off",
                draining.copy(acceptsStreams = false),
                LifecycleEvent.Tick(openCalls = 1),
                at = 12.5.seconds,
                actions = listOf("RefuseLongCalls(until=17.1s)"),
            ),
            LifecycleCase(
                "a draining node ends open calls just before its grace ends",
                closed,
                LifecycleEvent.Tick(openCalls = 1),
                at = 17.2.seconds,
                actions = listOf("BreakOff(openCalls=1)"),
            ),
            LifecycleCase(
                "a draining node waits until the calls that it ended are answered",
                closed.copy(isBrokenOff = true),
                LifecycleEvent.Tick(openCalls = 1),
                at = 17.3.seconds,
                actions = emptyList(),
            ),
            LifecycleCase(
                "a draining node exits when the calls that it ended are answered",
                closed.copy(isBrokenOff = true),
                LifecycleEvent.Tick(openCalls = 0),
                at = 17.3.seconds,
                actions = listOf("Exit(openCalls=0)"),
            ),
            LifecycleCase(
                "a draining node exits before it is killed, with calls open",
                closed.copy(isBrokenOff = true),
                LifecycleEvent.Tick(openCalls = 1),
                at = 17.4.seconds,
                actions = listOf("Exit(openCalls=1)"),
            ),
        ) { case ->
            LifecycleFilter(grace = 8.seconds).step(case.before, case.event, case.at).actions
                .map { if (it is LifecycleAction.Ready) "ready ${it.isReady}" else "$it" } shouldBe
                case.actions
        }
    })
