package org.bilberrycart.standins.engine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions
import org.bilberrycart.standins.engine.EngineReply.Refused
import org.bilberrycart.standins.http.LoadedModel
import org.bilberrycart.standins.pipeline.TimedFilter

/** Decides for an emulated engine with continuous batching, a queue and a prefix cache. */
object EngineFilter : TimedFilter<EngineState, EngineEvent, EngineAction> {
    /** The interval between checks for ended and unread streams. */
    internal val SWEEP_INTERVAL = 1.seconds

    override val tick: EngineEvent = EngineEvent.Tick

    override fun nextTickAt(state: EngineState): Duration? = when {
        !state.isAlive || state.isPaused -> null
        state.stepAt == null -> state.sweepAt
        state.sweepAt == null -> state.stepAt
        else -> minOf(state.stepAt, state.sweepAt)
    }

    override fun step(
        state: EngineState,
        event: EngineEvent,
        now: Duration,
    ): Step<EngineState, EngineAction> {
        val step = when (event) {
            is EngineEvent.Tick -> tick(state, now)
            is EngineEvent.Open -> open(state, event, now)
            is EngineEvent.Read -> read(state, event)
            is EngineEvent.ReaderClosed -> readerClosed(state, event.reader, now)
            is EngineEvent.Cancel -> cancel(state, event, now)
            is EngineEvent.CommandReceived -> commandReceived(state, event)
            is EngineEvent.FaultInjected -> FaultSteps.apply(state, event, now)
        }
        return step.copy(state = step.state.withLoadSample(now))
    }

    private fun tick(state: EngineState, now: Duration): EngineStep {
        if (!state.isAlive || state.isPaused) return Step(state)
        return BatchSteps.decode(state, now)
            .then { BatchSteps.sweep(it, now) }
            .then { BatchSteps.fillSlots(it, now) }
    }

    private fun open(state: EngineState, event: EngineEvent.Open, now: Duration): EngineStep {
        val refusal = refusal(state, event.request)
        if (refusal != null) return state.withActions(EngineAction.Send(event.reader, refusal))
        val stream = StreamState.of(event.request, event.reader, state.arrivals)
        val attempt = event.request.attempt
        return state.withStream(stream)
            .copy(
                arrivals = state.arrivals + 1,
                queue = state.queue.add(attempt),
                readers = state.readers.put(event.reader, attempt),
                sweepAt = state.sweepAt ?: (now + SWEEP_INTERVAL),
            )
            .updateCounters { withAccepted(stream) }
            .withActions(EngineAction.Send(event.reader, EngineReply.Accepted(stream.source)))
            .then { BatchSteps.fillSlots(it, now) }
    }

    private fun EngineCounters.withAccepted(stream: StreamState): EngineCounters {
        val isResumed = stream.request.prefix.isNotEmpty()
        val isWrong = stream.source.prompt != stream.request.prompt
        return copy(
            streams = streams + 1,
            resumed = resumed + if (isResumed) 1 else 0,
            wrongPrefixes = wrongPrefixes + if (isWrong) 1 else 0,
        )
    }

    private fun refusal(state: EngineState, request: StreamRequest): Refused? {
        val validationError = request.validationError()
        return when {
            !state.isAlive -> Refused(UNAVAILABLE, "the engine is dead")
            validationError != null -> Refused(BAD_REQUEST, validationError)
            request.attempt in state.streams ->
                Refused(CONFLICT, "attempt ${request.attempt} exists")
            request.loadedModel !in state.models ->
                Refused(NOT_FOUND, "model ${request.model} is not loaded")
            state.isLeaving -> Refused(UNAVAILABLE, "the engine is leaving")
            state.batch.size >= state.settings.slots &&
                state.queue.size >= state.settings.queueLimit ->
                Refused(UNAVAILABLE, "the queue is full")
            else -> null
        }
    }

    private fun read(state: EngineState, event: EngineEvent.Read): EngineStep {
        val stream = state.streams[event.attempt]
            ?: return state.refuse(event.reader, NOT_FOUND, "no attempt ${event.attempt}")
        if (event.from !in 0..stream.nextIndex) {
            return state.refuse(event.reader, BAD_REQUEST, "from must be in 0..${stream.nextIndex}")
        }
        val opening = listOf(
            EngineReply.Accepted(stream.source),
            EngineReply.Tokens(event.from, stream.nextIndex),
        ).map { EngineAction.Send(event.reader, it) }
        val phase = stream.phase
        if (phase is StreamPhase.Ended) {
            return Step(
                state,
                (opening + endActions(stream, phase.ending, event.reader)).toPersistentList(),
            )
        }
        val followed = stream.copy(readers = stream.readers.add(event.reader), unreadSince = null)
        val next = state.withStream(followed)
            .copy(readers = state.readers.put(event.reader, event.attempt))
        return Step(next, opening.toPersistentList())
    }

    private fun readerClosed(state: EngineState, reader: ReaderId, now: Duration): EngineStep {
        val attempt = state.readers[reader] ?: return Step(state)
        val rest = state.copy(readers = state.readers.remove(reader))
        val stream = rest.streams[attempt] ?: return Step(rest)
        return Step(rest.withStream(stream.withoutReader(reader, now)))
    }

    private fun cancel(state: EngineState, event: EngineEvent.Cancel, now: Duration): EngineStep {
        val stream = state.streams[event.attempt]
            ?: return state.refuse(event.reader, NOT_FOUND, "no attempt ${event.attempt}")
        val done = persistentListOf(EngineAction.Send(event.reader, EngineReply.Done))
        if (stream.phase is StreamPhase.Ended) return Step(state, done)
        return BatchSteps.endStream(state, stream, StreamEnding.CUT, now)
            .then { Step(it.updateCounters { copy(cancelled = cancelled + 1) }, done) }
            .then { BatchSteps.fillSlots(it, now) }
    }

    private fun commandReceived(
        state: EngineState,
        event: EngineEvent.CommandReceived,
    ): EngineStep {
        if (state.settings.checksFencing && event.fencing < state.highestFencing) {
            val refused = Refused(CONFLICT, "old fencing number", state.highestFencing)
            return state.withActions(EngineAction.Send(event.reader, refused))
        }
        val next = when (val command = event.command) {
            is EngineCommand.Load ->
                state.copy(
                    models = state.models.add(
                        command.run {
                            LoadedModel(model, adapter, version)
                        },
                    ),
                )
            is EngineCommand.Unload ->
                state.copy(
                    models = state.models.remove(
                        command.run {
                            LoadedModel(model, adapter, version)
                        },
                    ),
                )
            is EngineCommand.Role -> state.copy(role = command.role)
            is EngineCommand.Drain -> state.copy(isLeaving = command.draining)
        }
        return next.copy(highestFencing = maxOf(state.highestFencing, event.fencing))
            .withActions(EngineAction.Send(event.reader, EngineReply.Done))
    }

    private fun EngineState.refuse(reader: ReaderId, status: Int, error: String): EngineStep =
        withActions(EngineAction.Send(reader, Refused(status, error)))

    private const val BAD_REQUEST = 400
    private const val NOT_FOUND = 404
    private const val CONFLICT = 409
    private const val UNAVAILABLE = 503
}

/** The result of a step of [EngineFilter]. */
internal typealias EngineStep = Step<EngineState, EngineAction>

/** Returns the actions that end the response of [reader] when [stream] ends with [ending]. */
internal fun endActions(
    stream: StreamState,
    ending: StreamEnding,
    reader: ReaderId,
): List<EngineAction> {
    val finish = ending.reason?.let {
        EngineAction.Send(reader, EngineReply.Finished(it, stream.nextIndex))
    }
    return listOfNotNull(finish, EngineAction.Close(reader))
}
