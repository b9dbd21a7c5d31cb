package org.bilberrycart.standins.service

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions
import org.bilberrycart.standins.http.HostAction
import org.bilberrycart.standins.pipeline.TimedFilter

/** Decides for an emulated plain service that books slots and counts executed calls. */
object ServiceFilter : TimedFilter<ServiceState, ServiceEvent, ServiceAction> {
    override val tick: ServiceEvent = ServiceEvent.Tick

    override fun nextTickAt(state: ServiceState): Duration? =
        if (!state.isAlive || state.isPaused) null else state.running.minOfOrNull { it.due }

    override fun step(state: ServiceState, event: ServiceEvent, now: Duration): ServiceStep {
        val step = when (event) {
            ServiceEvent.Tick -> tick(state, now)
            is ServiceEvent.CallReceived -> callReceived(state, event.call, now)
            is ServiceEvent.FaultInjected -> faultInjected(state, event)
        }
        return step.copy(state = step.state.withLoadSample(now))
    }

    private fun tick(state: ServiceState, now: Duration): ServiceStep {
        if (!state.isAlive || state.isPaused) return Step(state)
        val (due, left) = state.running.partition { it.due <= now }
        val start: ServiceStep = Step(state.copy(running = left.toPersistentList()))
        return due.fold(start) { step, running -> step.then { execute(it, running) } }
            .then { fillSlots(it, now) }
    }

    private fun callReceived(state: ServiceState, call: ServiceCall, now: Duration): ServiceStep {
        val first = state.answers[call.key]
        return when {
            !state.isAlive -> refuse(state, call, "the service is dead")
            state.isLeaving -> refuse(state, call, "the service is leaving")
            first != null -> state.withActions(ServiceAction.Send(call.id, first))
            state.running.size >= state.settings.slots &&
                state.queue.size >= state.settings.queueLimit ->
                refuse(state, call, "the queue is full")
            else -> fillSlots(state.copy(queue = state.queue.add(call)), now)
        }
    }

    private fun refuse(state: ServiceState, call: ServiceCall, error: String): ServiceStep =
        state.withActions(ServiceAction.Send(call.id, ServiceReply.Refused(UNAVAILABLE, error)))

    private tailrec fun fillSlots(
        state: ServiceState,
        now: Duration,
        before: ServiceStep = Step(state),
    ): ServiceStep {
        if (state.queue.isEmpty() || state.running.size >= state.settings.slots) return before
        val next = before.then { start(it, now) }
        return fillSlots(next.state, now, next)
    }

    private fun start(state: ServiceState, now: Duration): ServiceStep {
        val call = state.queue.first()
        val resetPoint = state.nextResets.firstOrNull()
        val next = state.copy(
            queue = state.queue.removeAt(0),
            nextResets = if (resetPoint == null) state.nextResets else state.nextResets.removeAt(0),
        )
        if (resetPoint == ResetPoint.BEFORE) return Step(next, resetConnection(call))
        val time = state.settings.callTime + state.extraCallTime
        val due = now + if (resetPoint == ResetPoint.DURING) time / 2 else time
        return Step(next.copy(running = next.running.add(RunningCall(call, due, resetPoint))))
    }

    private fun execute(state: ServiceState, running: RunningCall): ServiceStep {
        val call = running.call
        val count = (state.executions[call.executionKey]?.count ?: 0) + 1
        val bookings = when (call.operation) {
            "book" -> if (call.slot in state.bookings) {
                state.bookings
            } else {
                state.bookings.put(call.slot, call.executionKey)
            }
            "cancel" -> state.bookings.remove(call.slot)
            else -> state.bookings
        }
        val reply = ServiceReply.Executed(
            operation = call.operation,
            key = call.key,
            execution = count,
            slot = call.slot,
            booked = call.slot in bookings,
        )
        val isKept = state.settings.dropsRepeats && call.key.isNotEmpty()
        val next = state.copy(
            bookings = bookings,
            executions = state.executions.put(
                call.executionKey,
                ExecutionCount(call.executionKey, call.operation, count),
            ),
            answers = if (isKept) state.answers.put(call.key, reply) else state.answers,
        )
        return if (running.resetPoint == null) {
            next.withActions(ServiceAction.Send(call.id, reply))
        } else {
            Step(next, resetConnection(call))
        }
    }

    private fun resetConnection(call: ServiceCall): PersistentList<ServiceAction> =
        persistentListOf(
            ServiceAction.Host(HostAction.Reset(call.connection)),
            ServiceAction.Close(call.id),
        )

    private fun faultInjected(state: ServiceState, event: ServiceEvent.FaultInjected): ServiceStep {
        val step = when (val fault = event.fault) {
            ServiceFault.Die -> die(state)
            ServiceFault.Restart -> restart(state)
            ServiceFault.Pause -> state.copy(isPaused = true).withHostAction(HostAction.Pause)
            ServiceFault.Resume -> state.copy(isPaused = false).withHostAction(HostAction.Resume)
            ServiceFault.Silence -> state.withHostAction(HostAction.Silence)
            ServiceFault.Leave -> Step(state.copy(isLeaving = true))
            is ServiceFault.Slow -> Step(state.copy(extraCallTime = fault.extra))
            is ServiceFault.ResetCalls ->
                Step(
                    state.copy(
                        nextResets = state.nextResets.addAll(
                            List(fault.count) {
                                fault.point
                            },
                        ),
                    ),
                )
        }
        return step.copy(
            actions = step.actions.add(ServiceAction.Send(event.id, ServiceReply.Done)),
        )
    }

    private fun die(state: ServiceState): ServiceStep {
        if (!state.isAlive) return Step(state)
        val waiting = state.running.map { it.call } + state.queue
        val closes = waiting.map { ServiceAction.Close(it.id) }
        val dead = state.copy(
            isAlive = false,
            running = persistentListOf(),
            queue = persistentListOf(),
        )
        return Step(
            dead,
            persistentListOf<ServiceAction>(ServiceAction.Host(HostAction.Die)).addAll(closes),
        )
    }

    private fun restart(state: ServiceState): ServiceStep = die(state).then {
        it.copy(
            incarnation = it.incarnation + 1,
            isAlive = true,
            isPaused = false,
            isLeaving = false,
        ).withHostAction(HostAction.Revive)
    }

    private fun ServiceState.withHostAction(action: HostAction): ServiceStep =
        withActions(ServiceAction.Host(action))

    private const val UNAVAILABLE = 503
}

/** The result of a step of [ServiceFilter]. */
internal typealias ServiceStep = Step<ServiceState, ServiceAction>
