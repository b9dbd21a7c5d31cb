package org.bilberrycart.standins.engine

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions
import org.bilberrycart.standins.http.HostAction

/** Decides how an engine carries out the faults that a test injects. */
internal object FaultSteps {
    /** Carries out the fault of [event] and confirms it to the waiting reader, if any. */
    fun apply(state: EngineState, event: EngineEvent.FaultInjected, now: Duration): EngineStep {
        val step = when (val fault = event.fault) {
            EngineFault.Die -> die(state)
            EngineFault.Restart -> restart(state)
            EngineFault.Pause -> state.copy(
                isPaused = true,
            ).withActions(EngineAction.Host(HostAction.Pause))
            EngineFault.Resume -> resume(state, now)
            EngineFault.Silence -> silence(state, now)
            EngineFault.Leave -> Step(state.copy(isLeaving = true))
            is EngineFault.CrashOn -> Step(state.copy(crashOn = fault.prompt))
            EngineFault.EndEarly -> endEarly(state, now)
        }
        val reader = event.reader ?: return step
        val done = EngineAction.Send(reader, EngineReply.Done)
        return step.copy(actions = step.actions.add(done))
    }

    /** Kills the engine: all streams are lost and all connections are reset. */
    fun die(state: EngineState): EngineStep {
        if (!state.isAlive) return Step(state)
        val lost = (state.batch.size + state.queue.size).toLong()
        val closes = state.readers.keys.map { EngineAction.Close(it) }
        return Step(
            withoutStreams(state).copy(isAlive = false).updateCounters {
                copy(
                    lost =
                    this.lost + lost,
                )
            },
            persistentListOf<EngineAction>(EngineAction.Host(HostAction.Die)).addAll(closes),
        )
    }

    private fun restart(state: EngineState): EngineStep {
        val dead = die(state)
        val fresh = dead.state.copy(
            isAlive = true,
            incarnation = state.incarnation + 1,
            isPaused = false,
            isLeaving = false,
        )
        return Step(fresh, dead.actions.add(EngineAction.Host(HostAction.Revive)))
    }

    private fun resume(state: EngineState, now: Duration): EngineStep = state.copy(
        isPaused = false,
        stepAt = state.stepAt?.coerceAtLeast(now),
    ).withActions(EngineAction.Host(HostAction.Resume))

    private fun silence(state: EngineState, now: Duration): EngineStep {
        val unread = state.streams.mapValues { (_, stream) ->
            stream.readers.fold(stream) { rest, reader -> rest.withoutReader(reader, now) }
        }
        return state.copy(
            streams = state.streams.putAll(unread),
            readers = persistentMapOf(),
        ).withActions(EngineAction.Host(HostAction.Silence))
    }

    private fun endEarly(state: EngineState, now: Duration): EngineStep =
        state.batch.fold(EngineStep(state)) { step, attempt ->
            step.then {
                BatchSteps.endStream(it, it.streams.getValue(attempt), StreamEnding.CUT, now)
            }
        }.then { BatchSteps.fillSlots(it, now) }

    private fun withoutStreams(state: EngineState) = EngineState(
        settings = state.settings,
        incarnation = state.incarnation,
        crashOn = state.crashOn,
        counters = state.counters,
    )
}
