package org.bilberrycart.standins.engine

import kotlin.time.Duration
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then

/** Decides which streams get a slot, what a decode step yields and when a stream ends. */
internal object BatchSteps {
    /** Moves streams from the queue into free slots, the lowest priority number first. */
    fun fillSlots(state: EngineState, now: Duration): EngineStep {
        if (state.queue.isEmpty() || state.batch.size >= state.settings.slots) return Step(state)
        val stream = state.queue.mapNotNull { state.streams[it] }
            .minWith(compareBy({ it.request.priority }, { it.arrivalOrder }))
        if (state.crashOn.isNotEmpty() && state.crashOn in stream.request.prompt) {
            return FaultSteps.die(state.updateCounters { copy(crashes = crashes + 1) })
        }
        return fillSlots(startStream(state, stream, now), now)
    }

    /** Gives each stream of the batch its next token if the current step is over. */
    fun decode(state: EngineState, now: Duration): EngineStep {
        val stepAt = state.stepAt ?: return Step(state)
        if (stepAt > now) return Step(state)
        val decoded = state.batch.fold(EngineStep(state)) { step, attempt ->
            step.then { decodeOne(it, it.streams.getValue(attempt), now) }
        }
        return decoded.copy(state = decoded.state.copy(stepAt = nextStepAt(decoded.state, now)))
    }

    /** Ends streams that are unread for too long and removes those past their retention. */
    fun sweep(state: EngineState, now: Duration): EngineStep {
        val sweepAt = state.sweepAt ?: return Step(state)
        if (sweepAt > now) return Step(state)
        val swept = state.streams.values.fold(EngineStep(state)) { step, stream ->
            step.then { sweepOne(it, stream, now) }
        }
        val next = if (swept.state.streams.isEmpty()) null else now + EngineFilter.SWEEP_INTERVAL
        return swept.copy(state = swept.state.copy(sweepAt = next))
    }

    /** Ends [stream] with [ending] and frees its slot. */
    fun endStream(
        state: EngineState,
        stream: StreamState,
        ending: StreamEnding,
        now: Duration,
    ): EngineStep {
        val attempt = stream.request.attempt
        val actions = stream.readers.flatMap { endActions(stream, ending, it) }
        val ended = stream.copy(phase = StreamPhase.Ended(now, ending))
        val batch = state.batch.remove(attempt)
        val next = state.withStream(ended).copy(
            batch = batch,
            queue = state.queue.remove(attempt),
            stepAt = if (batch.isEmpty()) null else state.stepAt,
            cache = state.cache.touch(state.blockHashes(stream)),
        )
        return Step(next, actions.toPersistentList())
    }

    private fun startStream(state: EngineState, stream: StreamState, now: Duration): EngineState {
        val blockHashes = state.blockHashes(stream)
        val promptTokens = PrefixCache.promptTokens(stream.request.prompt).size + stream.nextIndex
        val cached = state.cache.hits(blockHashes) * PrefixCache.BLOCK_TOKENS
        val until = now + state.settings.prefillTime(promptTokens - cached)
        val attempt = stream.request.attempt
        val batch = state.batch.add(attempt)
        return state.withStream(stream.copy(phase = StreamPhase.Prefilling(until)))
            .copy(
                queue = state.queue.remove(attempt),
                batch = batch,
                stepAt = state.stepAt ?: (until + state.settings.stepTime(batch.size)),
                cache = state.cache.touch(blockHashes),
                cacheLog = state.cacheLog.record(blockHashes, now, state.settings),
            )
            .updateCounters {
                copy(
                    prefillTokens = prefillTokens + promptTokens - cached,
                    resumePrefillTokens = resumePrefillTokens +
                        if (stream.request.prefix.isEmpty()) 0 else promptTokens - cached,
                    cachedTokens = cachedTokens + cached,
                )
            }
    }

    private fun decodeOne(state: EngineState, stream: StreamState, now: Duration): EngineStep {
        val phase = stream.phase
        if (phase is StreamPhase.Prefilling && phase.until > now) return Step(state)
        if (stream.nextIndex >= stream.length) return finish(state, stream, now)
        val grown = stream.copy(phase = StreamPhase.Decoding, nextIndex = stream.nextIndex + 1)
        val sends = stream.readers.map {
            EngineAction.Send(it, EngineReply.Tokens(stream.nextIndex, grown.nextIndex))
        }
        val counted = state.withStream(grown).updateCounters { copy(tokens = tokens + 1) }
        val step: EngineStep = Step(counted, sends.toPersistentList())
        if (grown.nextIndex < grown.length) return step
        return step.then { finish(it, grown, now) }
    }

    private fun finish(state: EngineState, stream: StreamState, now: Duration): EngineStep {
        val isFull = stream.length >= stream.request.maxTokens
        val ending = if (isFull) StreamEnding.LENGTH else StreamEnding.STOP
        return endStream(
            state.updateCounters {
                copy(finished = finished + 1)
            },
            stream,
            ending,
            now,
        )
    }

    private fun nextStepAt(state: EngineState, now: Duration): Duration? {
        val running = state.batch.size
        if (running == 0) return null
        val stepTime = state.settings.stepTime(running)
        val planned = (state.stepAt ?: now) + stepTime
        return if (planned < now) now + stepTime else planned
    }

    private fun sweepOne(state: EngineState, stream: StreamState, now: Duration): EngineStep {
        val phase = stream.phase
        val unreadSince = stream.unreadSince
        return when {
            phase is StreamPhase.Ended && now - phase.at >= state.settings.endedStreamRetention ->
                Step(removeStream(state, stream))
            phase !is StreamPhase.Ended &&
                unreadSince != null &&
                now - unreadSince >= state.settings.unreadTimeout ->
                endStream(
                    state.updateCounters {
                        copy(abandoned = abandoned + 1)
                    },
                    stream,
                    StreamEnding.CUT,
                    now,
                )
            else -> Step(state)
        }
    }

    private fun removeStream(state: EngineState, stream: StreamState): EngineState = state.copy(
        streams = state.streams.remove(stream.request.attempt),
        readers = stream.readers.fold(state.readers) { map, reader -> map.remove(reader) },
    )

    private fun EngineState.blockHashes(stream: StreamState): List<Long> {
        val prompt = PrefixCache.promptTokens(stream.request.prompt)
        val answer = List(stream.nextIndex) { stream.source.token(it) }
        return PrefixCache.blockHashes(stream.request.loadedModel, prompt + answer)
    }
}
