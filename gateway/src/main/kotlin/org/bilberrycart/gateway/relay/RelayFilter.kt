package org.bilberrycart.gateway.relay

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.StreamOrigin
import org.bilberrycart.gateway.placement.PlacementEvent
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.withActions

/**
 * Forwards only complete events of the current attempt of each stream, each once and in order.
 *
 * The filter also keeps the position of each stream, so that a resumed attempt starts exactly after
 * the last event sent to the caller. Bytes of earlier attempts are dropped.
 */
public class RelayFilter : Filter<RelayState, RelayEvent, RelayAction> {
    override fun step(
        state: RelayState,
        event: RelayEvent,
        now: Duration,
    ): Step<RelayState, RelayAction> = when (event) {
        is RelayEvent.Begin -> begin(state, event)
        is RelayEvent.Opened -> opened(state, event)
        is RelayEvent.Chunk -> chunk(state, event)
        is RelayEvent.Ended -> ended(state, event.attempt)
        is RelayEvent.Failed -> failed(state, event)
        is RelayEvent.Cancel -> state.withActions(RelayAction.Drop(event.attempt, event.why))
        is RelayEvent.Stop -> stop(state, event)
    }

    private fun begin(state: RelayState, event: RelayEvent.Begin): Step<RelayState, RelayAction> {
        val order = event.order
        val known = state.streams[order.attempt.call]
        val origin = known?.origin
        // Placement may have chosen before it heard of the stream's first event.
        if (origin is StreamOrigin.BegunAt && !origin.allows(order.upstream.softwareVersion)) {
            val report = PlacementEvent.BegunElsewhere(order.attempt, origin)
            return state.withActions(RelayAction.Report(report))
        }
        val stream = known?.copy(
            currentAttempt = order.attempt,
            partialEvent = Body.EMPTY,
            mustBringEvent = false,
        )
            ?: RelayedStream(
                currentAttempt = order.attempt,
                call = order.call,
                lastEvent = order.call.head.lastEvent,
            )
        val next = stream.copy(
            softwareVersion = order.upstream.softwareVersion,
            isForwarded = order.isForwarded,
        )
        return state.with(next).withActions(RelayAction.Send(order, stream.lastEvent))
    }

    private fun opened(state: RelayState, event: RelayEvent.Opened): Step<RelayState, RelayAction> {
        val stream = streamOf(state, event.attempt)
            ?: return state.withActions(RelayAction.Drop(event.attempt))
        val report = RelayAction.Report(
            PlacementEvent.StreamOpened(event.attempt, event.head.rateLimit),
        )
        val next = state.with(
            stream.copy(
                isOpen = true,
                mustBringEvent = stream.isOpen || event.head.endsWithConnection,
            ),
        )
        return when {
            stream.isOpen -> next.withActions(report)
            else -> next.withActions(
                RelayAction.Open(stream.call, event.head),
                report,
            )
        }
    }

    private fun chunk(state: RelayState, event: RelayEvent.Chunk): Step<RelayState, RelayAction> {
        val stream = streamOf(state, event.attempt)
            ?: return state.withActions(RelayAction.Drop(event.attempt))
        val frames = EventFrames.split(stream.partialEvent, event.bytes)
        val next = stream.copy(partialEvent = frames.partialEvent)
        return when {
            next.partialEvent.size > MAX_EVENT_BYTES ->
                state.with(next.copy(partialEvent = Body.EMPTY)).withActions(
                    RelayAction.Drop(event.attempt, "event too long"),
                    reportBroken(event.attempt, "event longer than $MAX_EVENT_BYTES bytes"),
                )
            frames.ids.isEmpty() -> state.with(next).withActions(RelayAction.Demand(event.attempt))
            !areConsecutive(stream.lastEvent, frames.ids) -> state.with(next).withActions(
                RelayAction.Drop(event.attempt),
                reportBroken(event.attempt, "events ${frames.ids} behind ${stream.lastEvent}"),
            )
            else -> state.with(
                next.copy(
                    lastEvent = frames.ids.last(),
                    mustBringEvent = false,
                    origin = originOf(next),
                ),
            ).withActions(
                RelayAction.Write(event.attempt, frames.completeEvents),
                RelayAction.Report(PlacementEvent.StreamProgressed(event.attempt)),
            )
        }
    }

    /** Returns where [stream] may go on after an event; another node knows where it began. */
    private fun originOf(stream: RelayedStream): StreamOrigin = when {
        stream.isForwarded -> stream.origin
        else -> StreamOrigin.BegunAt(stream.softwareVersion)
    }

    /** Returns whether each id follows the previous one without a gap, starting after [last]. */
    private fun areConsecutive(last: Long?, ids: List<Long?>): Boolean {
        val before = listOf(last) + ids.dropLast(1)
        return before.zip(ids).all { (a, b) -> b != null && (a == null || b == a + 1) }
    }

    private fun ended(state: RelayState, attempt: AttemptKey): Step<RelayState, RelayAction> {
        val stream = streamOf(state, attempt) ?: return Step(state)
        return when {
            stream.partialEvent.size > 0 || !stream.isOpen ->
                state.withActions(reportBroken(attempt, "ended within an event"))
            stream.mustBringEvent ->
                state.withActions(reportBroken(attempt, "ended before any event"))
            else -> Step(
                state.copy(streams = state.streams.remove(attempt.call)),
                persistentListOf(
                    RelayAction.Complete(attempt.call),
                    RelayAction.Report(PlacementEvent.StreamCompleted(attempt)),
                ),
            )
        }
    }

    private fun failed(state: RelayState, event: RelayEvent.Failed): Step<RelayState, RelayAction> =
        when (streamOf(state, event.attempt)) {
            null -> Step(state)
            else -> state.withActions(reportBroken(event.attempt, event.cause))
        }

    private fun stop(state: RelayState, event: RelayEvent.Stop): Step<RelayState, RelayAction> {
        val next = state.copy(streams = state.streams.remove(event.key))
        return if (event.isAborted) next.withActions(RelayAction.Abort(event.key)) else Step(next)
    }

    /** Returns the stream of [attempt], or null if [attempt] is not its current attempt. */
    private fun streamOf(state: RelayState, attempt: AttemptKey): RelayedStream? =
        state.streams[attempt.call]?.takeIf { it.currentAttempt == attempt }

    private fun reportBroken(attempt: AttemptKey, cause: String): RelayAction =
        RelayAction.Report(PlacementEvent.AttemptFailed(attempt, cause))

    private fun RelayState.with(stream: RelayedStream): RelayState =
        copy(streams = streams.put(stream.currentAttempt.call, stream))

    private companion object {
        /** Bounds the memory that an upstream can take which sends bytes without end. */
        const val MAX_EVENT_BYTES = 256 * 1024
    }
}
