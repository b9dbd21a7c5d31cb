package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.RepeatRule
import org.bilberrycart.gateway.model.ServiceName
import org.bilberrycart.pipeline.Step

/** Sends calls to upstreams, within the limits of their routes and of the repeat budget. */
internal class Placing(private val settings: PlacementSettings) {
    /**
     * Sends [call] to the best upstream, keeps it waiting if there is none, or ends it if it may
     * not be sent again.
     */
    fun place(
        state: PlacementState,
        call: CallState,
        now: Duration,
        why: String,
    ): Step<PlacementState, PlacementAction> {
        val waiting = state.with(call)
        return when {
            now >= call.call.endsAt -> Ending.giveUp(waiting, call, "time is over, $why", now)
            !state.allows(call) -> Ending.giveUp(
                waiting,
                call,
                "upstreams break off when they begin it, $why",
                now,
                comeBack = SUSPECT_WAIT,
            )
            !call.hasAttemptsLeft -> Ending.giveUp(waiting, call, "no attempt left, $why", now)
            !isInBudget(state, call, now) ->
                Ending.giveUp(waiting, call, "repeat budget is used up, $why", now)
            else -> send(waiting, call, now, why)
        }
    }

    /** Sends one more attempt of [call] beside those under way, if another upstream is free. */
    fun hedge(
        state: PlacementState,
        call: CallState,
        now: Duration,
    ): Step<PlacementState, PlacementAction> {
        val choice = Chooser(state, now).choose(call)
        val mayHedge = call.hasAttemptsLeft &&
            isInBudget(state, call, now) &&
            choice != null &&
            choice.entry.id !in call.tried
        return if (mayHedge) send(state, call, now, "hedge") else Step(state)
    }

    private fun isInBudget(state: PlacementState, call: CallState, now: Duration): Boolean =
        call.arrivals == 0 ||
            budget(state, call.call.service.name).allows(now, settings.slack(state.nodes))

    private fun budget(state: PlacementState, service: ServiceName): RepeatBudget =
        state.budgets[service] ?: RepeatBudget(
            window = settings.repeatWindow,
            ratio = settings.repeatRatio,
        )

    /** Returns [state] after [attempt] of [call] did not reach its upstream. */
    fun refunded(
        state: PlacementState,
        call: CallState,
        attempt: Attempt,
        now: Duration,
    ): PlacementState {
        if (!attempt.isRepeat) return state
        val service = call.call.service.name
        val counted = budget(state, service).counted(now, repeats = -1)
        return state.copy(budgets = state.budgets.put(service, counted))
    }

    private fun send(
        state: PlacementState,
        call: CallState,
        now: Duration,
        why: String,
    ): Step<PlacementState, PlacementAction> {
        val chooser = Chooser(state, now)
        val holder = chooser.holder(call.copy)
        val main = holder ?: chooser.choose(call) ?: return Step(state)
        val backup = when (call.call.route.repeat) {
            is RepeatRule.Stream -> chooser.chooseBackup(call.call, main)
            RepeatRule.Idempotent, RepeatRule.Once -> null
        }
        val attempt = Attempt(
            number = call.sendings + 1,
            upstream = main.entry.id,
            sentAt = now,
            isRepeat = call.arrivals > 0,
            backup = backup?.entry?.id,
        )
        val order = SendOrder(
            attempt = AttemptKey(call.call.key, attempt.number),
            call = call.call,
            upstream = main.entry,
            timeLeft = call.call.endsAt - now,
            backup = backup?.entry,
            resumesFrom = call.copy.takeIf { holder != null },
            load = chooser.load(main),
            usable = chooser.usable(call.call).size,
            isUrgent = call.isOpen,
        )
        val sent = call.copy(
            attempts = call.attempts.put(attempt.number, attempt),
            sendings = call.sendings + 1,
            arrivals = call.arrivals + 1,
            runs = call.runs + 1,
            tried = call.tried.add(main.entry.id),
            copy = null,
        )
        val service = call.call.service.name
        val before = budget(state, service)
        val counted = when {
            attempt.isRepeat -> before.counted(now, repeats = 1)
            call.sendings == 0 -> before.counted(now, firsts = 1)
            else -> before
        }
        val next = state.with(sent).counted(attempt, +1)
            .copy(budgets = state.budgets.put(service, counted), seed = chooser.nextSeed)
        return Step(next, persistentListOf(PlacementAction.Send(order, why)))
    }

    private companion object {
        val SUSPECT_WAIT = 30.seconds
    }
}
