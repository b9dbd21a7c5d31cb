package org.bilberrycart.gateway.watch

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.withActions

/**
 * Finds calls whose callers wait for an answer that no duty is going to send, for example since a
 * step of a duty failed.
 *
 * A call on its way between two duties is without an owner for a moment, so only one that stays so
 * for [limit] is ended.
 */
public class ExchangeWatchFilter(private val limit: Duration = LIMIT) :
    Filter<ExchangeWatchState, ExchangeWatchEvent, ExchangeWatchAction> {
    override fun step(
        state: ExchangeWatchState,
        event: ExchangeWatchEvent,
        now: Duration,
    ): Step<ExchangeWatchState, ExchangeWatchAction> = when (event) {
        is ExchangeWatchEvent.Looked -> looked(state, event, now)
    }

    private fun looked(
        state: ExchangeWatchState,
        event: ExchangeWatchEvent.Looked,
        now: Duration,
    ): Step<ExchangeWatchState, ExchangeWatchAction> {
        val unowned = event.open.filterNot { it in event.owned }
            .associateWith { state.unownedSince[it] ?: now }
        val (lost, pending) = unowned.entries.partition { now - it.value >= limit }
        val next = ExchangeWatchState(pending.associate { it.toPair() }.toPersistentMap())
        if (lost.isEmpty()) return Step(next)
        return next.withActions(
            ExchangeWatchAction.EndUnowned(lost.map { it.key }.toPersistentList()),
        )
    }

    private companion object {
        val LIMIT = 2.seconds
    }
}
