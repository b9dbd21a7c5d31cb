package org.bilberrycart.gateway.relay

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.Samples
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.placement.PlacementEvent
import org.bilberrycart.gateway.placement.SendOrder

private data class RelayCase(
    val name: String,
    val events: List<RelayEvent>,
    val last: RelayEvent,
    val actions: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private fun key(number: Int) = AttemptKey(CallKey(1), number)

private fun begin(number: Int, softwareVersion: String? = null) = RelayEvent.Begin(
    SendOrder(
        attempt = key(number),
        call = Samples.call(Samples.route(RetryRule.Stream(true))),
        upstream = Samples.entry("a", softwareVersion = softwareVersion),
        timeLeft = 1.seconds,
    ),
)

private fun opened(number: Int) = RelayEvent.Opened(key(number), Samples.answer(200).head)

private fun chunk(number: Int, text: String) = RelayEvent.Chunk(key(number), Body.of(text))

/** The size limit of an event, see [RelayFilter]. */
private const val MAX_EVENT_BYTES = 256 * 1024

private fun event(id: Int) = "id: $id\ndata: x\n\n"

class RelayFilterTest :
    FunSpec({
        fun describe(action: RelayAction): String = when (action) {
            is RelayAction.Send -> "send ${action.order.attempt.number} after ${action.lastEvent}"
            is RelayAction.Open -> "open"
            is RelayAction.Write -> "write ${action.bytes.text()}"
            is RelayAction.Demand -> "demand ${action.attempt.number}"
            is RelayAction.Drop -> "drop ${action.attempt.number}"
            is RelayAction.Complete -> "complete"
            is RelayAction.Abort -> "abort"
            is RelayAction.Report -> when (action.event) {
                is PlacementEvent.AttemptFailed -> "broken"
                else -> action.event::class.simpleName.orEmpty()
            }
        }

        fun check(case: RelayCase) {
            val filter = RelayFilter()
            val state = case.events.fold(RelayState()) { state, event ->
                filter.step(state, event, Duration.ZERO).state
            }
            filter.step(state, case.last, Duration.ZERO).actions.map(::describe) shouldBe
                case.actions
        }

        val running = listOf(begin(1), opened(1))

        // Guards against a stream whose first event arrives as it is sent elsewhere (ORDER).
        context("an attempt at another software version") {
            val begun = listOf(begin(1, "v1"), opened(1), chunk(1, event(1)))
            withData(
                RelayCase("is not sent", begun, begin(2, "v2"), listOf("BegunElsewhere")),
                RelayCase(
                    "does not end the one before",
                    begun + begin(2, "v2"),
                    chunk(1, event(2)),
                    listOf("write ${event(2)}", "StreamProgressed"),
                ),
                RelayCase(
                    "is sent if it is the same",
                    begun,
                    begin(2, "v1"),
                    listOf("send 2 after 1"),
                ),
                RelayCase(
                    "is sent before the first event",
                    listOf(begin(1, "v1"), opened(1)),
                    begin(2, "v2"),
                    listOf("send 2 after null"),
                ),
            ) { check(it) }
        }

        context("only complete events are forwarded") {
            withData(
                RelayCase(
                    "a complete event is forwarded at once",
                    running,
                    chunk(1, event(1)),
                    listOf("write ${event(1)}", "StreamProgressed"),
                ),
                RelayCase(
                    "an incomplete event is held back until its end arrives",
                    running,
                    chunk(1, "id: 1\nda"),
                    listOf("demand 1"),
                ),
                RelayCase(
                    "an event in two chunks is forwarded as one",
                    running + chunk(1, "id: 1\nda"),
                    chunk(1, "ta: x\n\nid: 2"),
                    listOf("write ${event(1)}", "StreamProgressed"),
                ),
                RelayCase(
                    "lines may end with a carriage return and a line feed",
                    running,
                    chunk(1, "id: 1\r\ndata: x\r\n\r\n"),
                    listOf("write id: 1\r\ndata: x\r\n\r\n", "StreamProgressed"),
                ),
                // Guards against a sound stream that is broken off for a blank line too many.
                RelayCase(
                    "a further blank line is no event",
                    running,
                    chunk(1, event(1) + "\n" + event(2)),
                    listOf("write ${event(1)}\n${event(2)}", "StreamProgressed"),
                ),
                RelayCase(
                    "also if it comes by itself",
                    running + chunk(1, event(1)) + chunk(1, "\n"),
                    chunk(1, event(2)),
                    listOf("write \n${event(2)}", "StreamProgressed"),
                ),
                RelayCase(
                    "a stream that ends within an event is reported as broken",
                    running + chunk(1, event(1) + "id: 2\n"),
                    RelayEvent.Ended(key(1)),
                    listOf("broken"),
                ),
                RelayCase(
                    "a stream that ends after a complete event is complete",
                    running + chunk(1, event(1)),
                    RelayEvent.Ended(key(1)),
                    listOf("complete", "StreamCompleted"),
                ),
            ) { check(it) }
        }

        // Guards against an empty answer that ends a begun stream as complete (ORDER).
        context("a continuation that ends before any event is no end of the stream") {
            val continued = running + chunk(1, event(1)) + begin(2) + opened(2)
            withData(
                RelayCase(
                    "it breaks the attempt",
                    continued,
                    RelayEvent.Ended(key(2)),
                    listOf("broken"),
                ),
                RelayCase(
                    "also behind a head without an event",
                    running + begin(2) + opened(2),
                    RelayEvent.Ended(key(2)),
                    listOf("broken"),
                ),
                RelayCase(
                    "behind an event it is the end",
                    continued + chunk(2, event(2)),
                    RelayEvent.Ended(key(2)),
                    listOf("complete", "StreamCompleted"),
                ),
                RelayCase(
                    "a first answer without events is complete",
                    running,
                    RelayEvent.Ended(key(1)),
                    listOf("complete", "StreamCompleted"),
                ),
            ) { check(it) }
        }

        context("events of two attempts are never mixed") {
            withData(
                RelayCase(
                    "a new attempt continues after the last complete event",
                    running + chunk(1, event(1) + event(2) + "id: 3\n"),
                    begin(2),
                    listOf("send 2 after 2"),
                ),
                RelayCase(
                    "bytes of an earlier attempt are dropped",
                    running + chunk(1, event(1)) + begin(2),
                    chunk(1, event(2)),
                    listOf("drop 1"),
                ),
                RelayCase(
                    "an incomplete event of an earlier attempt is not joined to the next attempt",
                    running + chunk(1, event(1) + "id: 2\nda") + begin(2) + opened(2),
                    chunk(2, event(2)),
                    listOf("write ${event(2)}", "StreamProgressed"),
                ),
                RelayCase(
                    "a gap in the event ids breaks the attempt",
                    running + chunk(1, event(1)),
                    chunk(1, event(3)),
                    listOf("drop 1", "broken"),
                ),
                RelayCase(
                    "a repeated event id breaks the attempt",
                    running + chunk(1, event(1)) + begin(2) + opened(2),
                    chunk(2, event(1)),
                    listOf("drop 2", "broken"),
                ),
                RelayCase(
                    "the caller gets the head of the first attempt only",
                    running + chunk(1, event(1)) + begin(2),
                    opened(2),
                    listOf("StreamOpened"),
                ),
            ) { check(it) }
        }

        context("bytes that never form an event") {
            withData(
                RelayCase(
                    "are requested up to the size limit",
                    running,
                    chunk(1, "x".repeat(MAX_EVENT_BYTES)),
                    listOf("demand 1"),
                ),
                RelayCase(
                    "break the attempt beyond the size limit",
                    running + chunk(1, "x".repeat(MAX_EVENT_BYTES)),
                    chunk(1, "x"),
                    listOf("drop 1", "broken"),
                ),
            ) { check(it) }
        }

        context("a stream that was stopped") {
            withData(
                RelayCase(
                    "cancels an attempt behind its dispatch",
                    listOf(begin(1)),
                    RelayEvent.Cancel(key(1), "caller gone"),
                    listOf("drop 1"),
                ),
                RelayCase(
                    "drops later bytes",
                    running + RelayEvent.Stop(CallKey(1), isAborted = true),
                    chunk(1, event(1)),
                    listOf("drop 1"),
                ),
                RelayCase(
                    "aborts the answer of the caller when it is stopped as aborted",
                    running,
                    RelayEvent.Stop(CallKey(1), isAborted = true),
                    listOf("abort"),
                ),
            ) { check(it) }
        }
    })
