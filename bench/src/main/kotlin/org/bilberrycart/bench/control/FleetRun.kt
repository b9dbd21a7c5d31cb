package org.bilberrycart.bench.control

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.configuration.ConfigurationAction
import org.bilberrycart.configuration.ConfigurationDocument
import org.bilberrycart.configuration.ConfigurationEvent
import org.bilberrycart.configuration.ConfigurationFilter
import org.bilberrycart.configuration.ConfigurationState
import org.bilberrycart.configuration.ConfigurationTiming
import org.bilberrycart.model.VmId

/**
 * The configuration decisions of a whole fleet under a simulated clock, with a change each
 * [CHANGE_INTERVAL] and a store that answers at once.
 *
 * @property head the newest accepted version.
 */
internal data class FleetRun(
    val nodes: Int,
    val now: Duration = Duration.ZERO,
    val head: Long = 0,
    val states: List<ConfigurationState> = List(nodes) {
        ConfigurationState(ConfigurationTiming.forFleetOf(nodes), seed = it.toLong())
    },
) {
    /** Reads of the store by all nodes so far. */
    val reads: Long
        get() = states.sumOf { it.reads }

    /** Returns the run one [step] later; nodes that are behind hear of the newest version. */
    fun advance(step: Duration): FleetRun {
        val at = now + step
        val next = copy(now = at, head = (at / CHANGE_INTERVAL).toLong())
        val ticked = next.states.map { next.settle(it, ConfigurationEvent.Tick) }
        val heard = ticked.maxOf { it.knownVersion }
        val news = ConfigurationEvent.PeerHasVersion(VmId("peer"), heard)
        return next.copy(
            states = ticked.map { if (it.version < heard) next.settle(it, news) else it },
        )
    }

    private tailrec fun settle(
        state: ConfigurationState,
        event: ConfigurationEvent,
    ): ConfigurationState {
        val step = FILTER.step(state, event, now)
        val answer = step.actions.firstNotNullOfOrNull(::answer)
        return if (answer == null) step.state else settle(step.state, answer)
    }

    private fun answer(action: ConfigurationAction): ConfigurationEvent? = when (action) {
        ConfigurationAction.ReadHead -> ConfigurationEvent.HeadRead(head)
        is ConfigurationAction.ReadDocument -> ConfigurationEvent.DocumentRead(
            ConfigurationDocument(action.version, "publication", "author", "today", "{}"),
        )
        else -> null
    }

    private companion object {
        /** 580 changes a day. */
        val CHANGE_INTERVAL = 149.seconds
        val FILTER = ConfigurationFilter()
    }
}
