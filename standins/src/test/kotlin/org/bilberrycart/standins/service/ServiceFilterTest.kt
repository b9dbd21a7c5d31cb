package org.bilberrycart.standins.service

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.standins.http.HostAction

private const val CONNECTION = 9

private fun call(id: Long, operation: String = "book", key: String = "k$id", slot: String = "s") =
    ServiceCall(CallId(id), operation, key, attempt = "a$id", slot = slot, CONNECTION)

/** Applies [events] one second apart, with all ticks that are due in between. */
private fun run(settings: StandInServiceSettings, vararg events: ServiceEvent): ServiceStep {
    val start = ServiceStep(ServiceState(settings))
    val times = events.indices.map { it.seconds }
    return (events.toList() + ServiceEvent.Tick).zip(times + events.size.seconds)
        .fold(start) { step, (event, now) -> step.tickUntil(now).apply(event, now) }
}

private fun ServiceStep.apply(event: ServiceEvent, now: Duration): ServiceStep {
    val next = ServiceFilter.step(state, event, now)
    return ServiceStep(next.state, actions.addAll(next.actions))
}

private tailrec fun ServiceStep.tickUntil(end: Duration): ServiceStep {
    val at = ServiceFilter.nextTickAt(state)
    return if (at == null || at > end) this else apply(ServiceEvent.Tick, at).tickUntil(end)
}

private fun ServiceStep.replies() = actions.filterIsInstance<ServiceAction.Send>().map { it.reply }

private data class RepeatCase(val dropsRepeats: Boolean, val key: String, val count: Int) :
    WithDataTestName {
    override fun dataTestName(): String =
        "key '$key' takes effect $count times if dropsRepeats is $dropsRepeats"
}

private data class ResetCase(val point: ResetPoint, val executions: Int) : WithDataTestName {
    override fun dataTestName(): String = "$point leaves $executions executions"
}

class ServiceFilterTest :
    FunSpec({
        val settings = StandInServiceSettings(slots = 1, queueLimit = 1)

        context("a call sent twice") {
            withData(
                RepeatCase(dropsRepeats = true, key = "k", count = 1),
                RepeatCase(dropsRepeats = false, key = "k", count = 2),
            ) { case ->
                val repeated = call(1, key = case.key)
                val end = run(
                    settings.copy(dropsRepeats = case.dropsRepeats),
                    ServiceEvent.CallReceived(repeated),
                    ServiceEvent.CallReceived(repeated),
                )
                end.state.executions.values.single().count shouldBe case.count
                end.replies().size shouldBe 2
            }
        }

        context("a call whose connection is reset") {
            withData(
                ResetCase(ResetPoint.BEFORE, executions = 0),
                ResetCase(ResetPoint.DURING, executions = 1),
                ResetCase(ResetPoint.AFTER, executions = 1),
            ) { case ->
                val end = run(
                    settings,
                    ServiceEvent.FaultInjected(ServiceFault.ResetCalls(case.point, 1), CallId(0)),
                    ServiceEvent.CallReceived(call(1)),
                )
                end.state.executions.values.sumOf { it.count } shouldBe case.executions
                end.replies() shouldBe listOf(ServiceReply.Done)
                end.actions.filterIsInstance<ServiceAction.Host>() shouldBe
                    listOf(ServiceAction.Host(HostAction.Reset(CONNECTION)))
            }
        }

        test("only the first of two bookings holds the slot") {
            val end = run(
                settings,
                ServiceEvent.CallReceived(call(1)),
                ServiceEvent.CallReceived(call(2)),
            )
            end.state.bookings.toMap() shouldBe mapOf("s" to "k1")
        }

        test("a call is refused without effect if the queue is full") {
            val start = ServiceState(settings)
            val end = (1L..3L).fold(ServiceStep(start)) { step, id ->
                step.apply(ServiceEvent.CallReceived(call(id)), Duration.ZERO)
            }.tickUntil(1.seconds)
            end.replies().filterIsInstance<ServiceReply.Refused>().map { it.status } shouldBe
                listOf(503)
            end.state.executions.keys shouldBe setOf("k1", "k2")
        }

        test("a service that dies drops calls that have not taken effect and restarts") {
            val end = run(
                settings.copy(callMillis = 1_500),
                ServiceEvent.CallReceived(call(1)),
                ServiceEvent.FaultInjected(ServiceFault.Die, CallId(0)),
                ServiceEvent.FaultInjected(ServiceFault.Restart, CallId(0)),
                ServiceEvent.CallReceived(call(2)),
            ).tickUntil(10.seconds)
            end.state.executions.keys shouldBe setOf("k2")
            end.state.incarnation shouldBe 2
        }

        test("an injected delay is added to each call") {
            val slow = ServiceEvent.FaultInjected(ServiceFault.Slow(200.milliseconds), CallId(0))
            val end = run(settings, slow, ServiceEvent.CallReceived(call(1)))
            ServiceFilter.nextTickAt(end.state) shouldBe null
            end.state.load.at(1.seconds + 219.milliseconds).running shouldBe 1
            end.state.load.at(1.seconds + 220.milliseconds).running shouldBe 0
        }
    })
