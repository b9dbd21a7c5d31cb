package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.Refusal
import org.bilberrycart.gateway.model.UpstreamAnswer
import org.bilberrycart.pipeline.Step

/** The ways in which a call ends. Each cancels the attempts that are still under way. */
internal object Ending {
    private val COME_BACK = 250.milliseconds

    /** Gives the caller [answer], which came from attempt [winner]. */
    fun deliver(
        state: PlacementState,
        call: CallState,
        answer: UpstreamAnswer,
        winner: Int?,
    ): Step<PlacementState, PlacementAction> = end(
        state,
        call,
        PlacementAction.Deliver(call, answer),
        why = "answered",
        winner,
    )

    /** Forgets [call]; attempt [winner] ended by itself. */
    fun forget(
        state: PlacementState,
        call: CallState,
        why: String,
        winner: Int? = null,
    ): Step<PlacementState, PlacementAction> = end(
        state,
        call,
        PlacementAction.Forget(call, why),
        why,
        winner,
    )

    /** Ends [call] without an answer of an upstream: says what is known of it, and truly. */
    fun giveUp(
        state: PlacementState,
        call: CallState,
        why: String,
        now: Duration,
        comeBack: Duration = COME_BACK,
    ): Step<PlacementState, PlacementAction> {
        val last = when {
            call.isOpen -> PlacementAction.Abort(call, why)
            call.failure != null -> PlacementAction.Deliver(call, call.failure)
            call.runs == 0 -> PlacementAction.Refuse(call, Refusal.NotRun(why, comeBack))
            now >= call.call.endsAt -> PlacementAction.Refuse(call, Refusal.TimedOut(why))
            else -> PlacementAction.Refuse(call, Refusal.Broken(why))
        }
        return end(state, call, last, why)
    }

    private fun end(
        state: PlacementState,
        call: CallState,
        last: PlacementAction,
        why: String,
        winner: Int? = null,
    ): Step<PlacementState, PlacementAction> {
        val cancels = call.attempts.values.filter { it.number != winner }.map {
            PlacementAction.Cancel(AttemptKey(call.call.key, it.number), it.upstream, why)
        }
        val left = call.attempts.values.fold(state) { next, attempt -> next.counted(attempt, -1) }
        return Step(
            left.copy(calls = left.calls.remove(call.call.key)),
            (listOf(last) + cancels).toPersistentList(),
        )
    }
}
