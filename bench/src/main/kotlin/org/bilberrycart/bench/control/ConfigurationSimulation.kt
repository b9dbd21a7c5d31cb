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
 * Simulates the configuration filters of a whole fleet, with a change every [CHANGE_INTERVAL] and
 * a store that replies immediately.
 *
 * @property nodes the number of nodes.
 * @property now the simulated time.
 * @property head the newest accepted version.
 * @property states the state of each node.
 */
internal data class ConfigurationSimulation(
    val nodes: Int,
    val now: Duration = Duration.ZERO,
    val head: Long = 0,
    val states: List<ConfigurationState> = List(nodes) {
        ConfigurationState(ConfigurationTiming.forFleetOf(nodes), seed = it.toLong())
    },
) {
    /** The number of store reads by all nodes so far. */
    val reads: Long
        get() = states.sumOf { it.reads }

    /**
     * Returns the simulation one [step] later.
     *
     * The newest version that any node knows is announced to all nodes that do not have it yet.
     */
    fun advance(step: Duration): ConfigurationSimulation {
        val at = now + step
        val next = copy(now = at, head = (at / CHANGE_INTERVAL).toLong())
        val ticked = next.states.map { next.stepWithReplies(it, ConfigurationEvent.Tick) }
        val newestKnown = ticked.maxOf { it.knownVersion }
        val announcement = ConfigurationEvent.PeerHasVersion(VmId("peer"), newestKnown)
        return next.copy(
            states = ticked.map {
                if (it.version < newestKnown) next.stepWithReplies(it, announcement) else it
            },
        )
    }

    /** Steps [state] with [event] and then with each reply of the store. */
    private tailrec fun stepWithReplies(
        state: ConfigurationState,
        event: ConfigurationEvent,
    ): ConfigurationState {
        val step = FILTER.step(state, event, now)
        val reply = step.actions.firstNotNullOfOrNull(::replyOf)
        return if (reply == null) step.state else stepWithReplies(step.state, reply)
    }

    /** Returns the store's reply to [action]; null if it is no read of the store. */
    private fun replyOf(action: ConfigurationAction): ConfigurationEvent? = when (action) {
        ConfigurationAction.ReadHead -> ConfigurationEvent.HeadRead(head)
        is ConfigurationAction.ReadDocument -> ConfigurationEvent.DocumentRead(
            ConfigurationDocument(action.version, "publication", "author", "today", "{}"),
        )
        else -> null
    }

    private companion object {
        /** The interval that gives 580 changes a day. */
        val CHANGE_INTERVAL = 149.seconds
        val FILTER = ConfigurationFilter()
    }
}
