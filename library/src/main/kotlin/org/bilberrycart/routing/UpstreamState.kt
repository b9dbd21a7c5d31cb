package org.bilberrycart.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.bilberrycart.model.Upstream

/**
 * The state that routing keeps for one upstream.
 *
 * @property pools the pools that contain it.
 * @property isDeclared whether the configuration in force declares it.
 * @property inFlight the number of attempts of this node in flight on it.
 * @property inFlightAtReport the value of [inFlight] when the last load report arrived.
 * @property otherNodesLoad the running and queued requests of other nodes, estimated from its last
 * load report.
 * @property incarnation the newest incarnation that a load report named.
 * @property leavingIncarnation the newest incarnation that is known to leave; null if none is.
 * @property consecutiveLosses the number of attempts lost since the last one completed.
 * @property consecutiveEjections the number of ejections since the last attempt completed.
 * @property suspectAttempts the number of attempts of this node in flight on it that may crash it.
 * @property closedUntil until when it takes only work that must run alone; null if it is open.
 * @property isClosedByOther whether another node closed it; it then takes no work of this node.
 * @property fullUntil until when it counts as full because it refused work; null if it did not.
 * @property slowStartAt when its slow start begins: at the end of its last ejection, or when it
 * restarted; null if neither happened.
 */
public data class UpstreamState(
    val upstream: Upstream,
    val pools: PersistentSet<PoolKey> = persistentSetOf(),
    val isDeclared: Boolean = true,
    val inFlight: Int = 0,
    val inFlightAtReport: Int = 0,
    val otherNodesLoad: Int = 0,
    val incarnation: Long = 0,
    val leavingIncarnation: Long? = null,
    val consecutiveLosses: Int = 0,
    val consecutiveEjections: Int = 0,
    val suspectAttempts: Int = 0,
    val closedUntil: Duration? = null,
    val isClosedByOther: Boolean = false,
    val fullUntil: Duration? = null,
    val slowStartAt: Duration? = null,
) {
    /**
     * The estimated number of requests that it runs or queues.
     *
     * The attempts of this node are counted exactly, since load reports lag behind them.
     */
    val load: Int
        get() = otherNodesLoad + inFlight

    /** Whether it accepts new work; an ejected upstream may still be serving. */
    val isServing: Boolean
        get() = isDeclared && (leavingIncarnation == null || leavingIncarnation < incarnation)

    /** Returns whether it is ejected at [now]. */
    public fun isEjected(now: Duration): Boolean = slowStartAt != null && now < slowStartAt

    /** Returns whether it takes only work that must run alone at [now]. */
    public fun isClosed(now: Duration): Boolean = closedUntil != null && now < closedUntil

    /** Returns whether it refused work shortly before [now]. */
    public fun isFull(now: Duration): Boolean = fullUntil != null && now < fullUntil

    /** Returns how many slots may be used at [now], which are fewer during slow start. */
    public fun capacity(now: Duration): Double {
        val slots = upstream.slots.toDouble()
        val elapsed = if (slowStartAt == null) SLOW_START else now - slowStartAt
        if (elapsed >= SLOW_START) return slots
        return maxOf(1.0, slots * maxOf(INITIAL_SHARE, elapsed / SLOW_START))
    }

    /** Returns this state after [load] arrived at [now]; old incarnations are ignored. */
    internal fun withLoadReport(load: LoadReport, now: Duration): UpstreamState {
        if (load.incarnation < incarnation) return this
        val current =
            if (load.incarnation > incarnation) withIncarnation(load.incarnation, now) else this
        val leaving = if (load.leaving) load.incarnation else current.leavingIncarnation
        return current.copy(
            upstream = if (load.slots > 0) upstream.copy(slots = load.slots) else upstream,
            otherNodesLoad =
            maxOf(0, load.running + load.queued - minOf(inFlight, current.inFlightAtReport)),
            inFlightAtReport = inFlight,
            leavingIncarnation = leaving,
            fullUntil = null,
        )
    }

    /** Returns this state once [leaving], an incarnation of the upstream, is known to leave. */
    internal fun withLeaving(leaving: Long): UpstreamState =
        copy(leavingIncarnation = maxOf(leaving, leavingIncarnation ?: leaving))

    private fun withIncarnation(newIncarnation: Long, now: Duration): UpstreamState = copy(
        incarnation = newIncarnation,
        consecutiveLosses = 0,
        consecutiveEjections = 0,
        slowStartAt = if (incarnation == 0L && slowStartAt == null) null else now,
    )

    internal companion object {
        /** How long the usable slots grow after an ejection or a restart. */
        val SLOW_START = 10.seconds

        /** The share of the slots that may be used at the beginning of slow start. */
        const val INITIAL_SHARE = 0.25
    }
}
