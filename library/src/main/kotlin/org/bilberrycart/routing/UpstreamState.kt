package org.bilberrycart.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.bilberrycart.model.Upstream

/**
 * What routing knows of one upstream.
 *
 * @property pools the pools that hold it.
 * @property isDeclared whether the configuration in force declares it.
 * @property own attempts of this node that it runs.
 * @property ownAtReport [own] when its last load report came.
 * @property others the load by other nodes, from its last load report.
 * @property incarnation the newest incarnation heard of.
 * @property leftIncarnation the newest incarnation that is known to leave; null if none is.
 * @property lossesInRow attempts lost since the last one completed.
 * @property ejectionsInRow ejections since the last attempt completed.
 * @property suspects attempts of this node that it runs and that may crash it.
 * @property closedUntil until when only work that runs alone may enter; null if it is open.
 * @property isClosedByOther whether another node closed it; then no work of this node enters.
 * @property fullUntil when it may be tried again after it refused work; null if it did not.
 * @property returnsAt when its last ejection or start ends; slow start follows.
 */
public data class UpstreamState(
    val upstream: Upstream,
    val pools: PersistentSet<PoolKey> = persistentSetOf(),
    val isDeclared: Boolean = true,
    val own: Int = 0,
    val ownAtReport: Int = 0,
    val others: Int = 0,
    val incarnation: Long = 0,
    val leftIncarnation: Long? = null,
    val lossesInRow: Int = 0,
    val ejectionsInRow: Int = 0,
    val suspects: Int = 0,
    val closedUntil: Duration? = null,
    val isClosedByOther: Boolean = false,
    val fullUntil: Duration? = null,
    val returnsAt: Duration? = null,
) {
    /** The load corrected for the lag of reports: that of other nodes and this node's own. */
    val load: Int
        get() = others + own

    /** Whether it takes new work, ejection aside. */
    val isServing: Boolean
        get() = isDeclared && (leftIncarnation == null || leftIncarnation < incarnation)

    /** Returns whether it is ejected at [now]. */
    public fun isEjected(now: Duration): Boolean = returnsAt != null && now < returnsAt

    /** Returns whether only work that runs alone may enter at [now]. */
    public fun isClosed(now: Duration): Boolean = closedUntil != null && now < closedUntil

    /** Returns whether it refused work shortly before [now]. */
    public fun isFull(now: Duration): Boolean = fullUntil != null && now < fullUntil

    /** Returns how many slots may be used at [now]; fewer during slow start. */
    public fun capacity(now: Duration): Double {
        val slots = upstream.slots.toDouble()
        val since = if (returnsAt == null) SLOW_START else now - returnsAt
        if (since >= SLOW_START) return slots
        return maxOf(1.0, slots * maxOf(FIRST_SHARE, since / SLOW_START))
    }

    /** Returns this upstream after [load] came in at [now]. */
    internal fun reported(load: LoadReport, now: Duration): UpstreamState {
        if (load.incarnation < incarnation) return this
        val known = if (load.incarnation > incarnation) restarted(load.incarnation, now) else this
        val left = if (load.leaving) load.incarnation else known.leftIncarnation
        return known.copy(
            upstream = if (load.slots > 0) upstream.copy(slots = load.slots) else upstream,
            others = maxOf(0, load.running + load.queued - minOf(own, known.ownAtReport)),
            ownAtReport = own,
            leftIncarnation = left,
            fullUntil = null,
        )
    }

    /** Returns this upstream once [left], an incarnation of it, is known to leave. */
    internal fun leaving(left: Long): UpstreamState =
        copy(leftIncarnation = maxOf(left, leftIncarnation ?: left))

    private fun restarted(newIncarnation: Long, now: Duration): UpstreamState = copy(
        incarnation = newIncarnation,
        lossesInRow = 0,
        ejectionsInRow = 0,
        returnsAt = if (incarnation == 0L && returnsAt == null) null else now,
    )

    internal companion object {
        val SLOW_START = 10.seconds
        const val FIRST_SHARE = 0.25
    }
}
