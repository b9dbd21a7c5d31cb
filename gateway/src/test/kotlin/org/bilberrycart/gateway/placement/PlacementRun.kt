package org.bilberrycart.gateway.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.Samples
import org.bilberrycart.gateway.model.AttemptKey
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.Refusal

/** Steps the placement filter and describes its actions by short texts. */
class PlacementRun(
    settings: PlacementSettings = PlacementSettings(),
    seed: Long = 1,
    startedAt: Duration = Duration.ZERO,
) {
    private val filter = PlacementFilter(settings)
    var state = PlacementState(seed = seed, startedAt = startedAt)
        private set
    var now: Duration = Duration.ZERO

    fun step(event: PlacementEvent): List<String> {
        val step = filter.step(state, event, now)
        state = step.state
        return step.actions.filterNot {
            it is PlacementAction.UpstreamStatusChanged ||
                it is PlacementAction.RetryRefused ||
                it is PlacementAction.CrashRecorded ||
                it is PlacementAction.IsolationChanged ||
                it is PlacementAction.PartBlocked ||
                it is PlacementAction.PartReleased
        }.map(::describe)
    }

    /** Lets [time] pass in ticks and returns what they bring about. */
    fun advance(time: Duration): List<String> {
        val end = now + time
        return buildList {
            while (now < end) {
                now = minOf(end, now + TICK)
                addAll(step(PlacementEvent.Tick))
            }
        }
    }

    fun register(vararg ids: String): List<String> = step(
        PlacementEvent.UpstreamsListed(
            ids.map {
                Samples.entry(it.take(1), it.drop(1)).copy(host = "host-${it.take(1)}")
            }.toPersistentList(),
        ),
    )

    private fun describe(action: PlacementAction): String = when (action) {
        is PlacementAction.Send -> listOfNotNull(
            "send ${action.order.upstream.id.value}",
            action.order.backup?.let { "backup ${it.id.value}" },
            action.order.resumesFrom?.let { "from ${it.requestId}" },
            "newly connected".takeIf { action.order.needsNewConnection },
        ).joinToString(" ")
        is PlacementAction.Cancel -> "cancel ${action.attempt.number}"
        is PlacementAction.Deliver -> "deliver ${action.answer.head.status}"
        is PlacementAction.Refuse -> "refuse " + when (action.refusal) {
            is Refusal.NotRun -> "not run"
            is Refusal.UpstreamFailed -> "broken"
            is Refusal.TimedOut -> "timed out"
            else -> action.refusal.reason
        }
        is PlacementAction.Abort -> "abort"
        is PlacementAction.Forget -> "forget"
        is PlacementAction.Resumed -> "resumed ${action.pause.inWholeMilliseconds}"
        is PlacementAction.RetryRefused -> "retry refused"
        is PlacementAction.SeekOrigin -> "seek origin"
        is PlacementAction.Probe -> "probe ${action.upstream.id.value}"
        is PlacementAction.Identify -> "identify ${action.id.value}"
        is PlacementAction.UpstreamStatusChanged -> action.status
        is PlacementAction.IsolationChanged -> "isolated ${action.isIsolated}"
        is PlacementAction.CrashRecorded -> "crashes ${action.crashCount}"
        is PlacementAction.PartBlocked -> "blocked ${action.part.value}"
        is PlacementAction.PartReleased -> "released ${action.part.value}"
    }

    companion object {
        private val TICK = 20.milliseconds

        fun attempt(number: Int = 1, call: Long = 1) = AttemptKey(CallKey(call), number)
    }
}
