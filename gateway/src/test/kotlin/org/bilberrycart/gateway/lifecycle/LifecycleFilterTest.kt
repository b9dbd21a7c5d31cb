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
        val closed = draining.copy(takesStreams = false, isAccepting = false)
        withData(
            LifecycleCase(
                "a node without upstreams is not ready",
                LifecycleState.Starting(hasConfiguration = false, hasUpstreams = false),
                LifecycleEvent.Configured,
                actions = emptyList(),
            ),
            LifecycleCase(
                "a node with both is ready",
                LifecycleState.Starting(hasConfiguration = true, hasUpstreams = false),
                LifecycleEvent.UpstreamsListed,
                actions = listOf("ready true"),
            ),
            LifecycleCase(
                "a node that shall stop is not ready",
                LifecycleState.Serving,
                LifecycleEvent.Terminate,
                actions = listOf("ready false"),
            ),
            LifecycleCase(
                "a second order to stop changes nothing",
                draining,
                LifecycleEvent.Terminate,
                actions = emptyList(),
            ),
            LifecycleCase(
                "it still takes all for a moment",
                draining,
                LifecycleEvent.Tick(openCalls = 0),
                at = 10.9.seconds,
                actions = emptyList(),
            ),
            LifecycleCase(
                "then it takes no more streams",
                draining,
                LifecycleEvent.Tick(openCalls = 2),
                at = 11.seconds,
                actions = listOf("RefuseStreams"),
            ),
            LifecycleCase(
                "it does not end before the balancer knows",
                draining.copy(takesStreams = false),
                LifecycleEvent.Tick(openCalls = 0),
                at = 13.seconds,
                actions = emptyList(),
            ),
            LifecycleCase(
                "and at last takes no more connections",
                draining.copy(takesStreams = false),
                LifecycleEvent.Tick(openCalls = 2),
                at = 16.seconds,
                actions = listOf("StopAccepting"),
            ),
            LifecycleCase(
                "open calls are waited for",
                closed,
                LifecycleEvent.Tick(openCalls = 1),
                at = 16.seconds,
                actions = emptyList(),
            ),
            LifecycleCase(
                "it ends when all is answered",
                closed,
                LifecycleEvent.Tick(openCalls = 0),
                at = 13.3.seconds,
                actions = listOf("Exit(openCalls=0)"),
            ),
            LifecycleCase(
                "it breaks off what is left just before it is killed",
                closed,
                LifecycleEvent.Tick(openCalls = 1),
                at = 17.2.seconds,
                actions = listOf("BreakOff(openCalls=1)", "Exit(openCalls=1)"),
            ),
        ) { case ->
            LifecycleFilter(grace = 8.seconds).step(case.before, case.event, case.at).actions
                .map { if (it is LifecycleAction.Ready) "ready ${it.isReady}" else "$it" } shouldBe
                case.actions
        }
    })
