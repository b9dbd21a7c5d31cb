package org.bilberrycart.gateway.placement

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.model.CallFingerprint
import org.bilberrycart.gateway.model.RoutedCall
import org.bilberrycart.gateway.model.ServiceName
import org.bilberrycart.gateway.model.StreamOrigin
import org.bilberrycart.gateway.model.UpstreamId

/**
 * Selects the least loaded usable upstream for a call, or for the backup of its KV cache.
 *
 * @property origin where the call may be sent, if it is a stream that has begun.
 */
internal class LeastLoadedSelector(
    private val state: PlacementState,
    private val service: ServiceName,
    private val now: Duration,
    private val origin: StreamOrigin = StreamOrigin.NotBegun,
) {
    private val random = Random(state.seed)
    private val loads = state.loads()

    /** The upstreams of the service that the call may be sent to now or later. */
    private val listed: List<UpstreamView> = state.upstreams.values.filter {
        it.entry.service == service &&
            !it.isLeaving &&
            !it.isReplaced &&
            origin.allows(it.entry.softwareVersion)
    }

    private val available: List<UpstreamView> = listed.filter { it.isUsable(now) }

    /** Whether a stream that has begun can't go on, since no upstream of its version is left. */
    val hasNoneOfVersion: Boolean
        get() = origin is StreamOrigin.BegunAt && listed.isEmpty()

    /** Whether the service has upstreams, and all of them are taken for lost. */
    val areAllDown: Boolean
        get() = listed.isNotEmpty() && listed.none { it.isUsable(now) || it.isPaused(now) }

    /** The upstreams of the service that may be selected. */
    val usable: List<UpstreamView> = available.filter { state.quotaWait(it, now) == ZERO }

    /**
     * Returns how long the rate limits and pauses of all upstreams delay a call, if this node has
     * [ahead] others to send before it; null if the service has no upstream. One that is down for a
     * moment counts too.
     */
    fun quotaWait(ahead: Int): Duration? {
        val first = listed.minOfOrNull { maxOf(state.quotaWait(it, now), it.pauseLeft(now)) }
            ?: return null
        val rate = listed.sumOf { view ->
            view.rateLimit?.let { state.quota(view, it.perSecond).perSecond } ?: 0.0
        }
        return if (ahead == 0 ||
            first == ZERO ||
            rate == 0.0
        ) {
            first
        } else {
            first + (ahead / rate).seconds
        }
    }

    /** Returns a time between [wait] and somewhat more, so that callers return one by one. */
    fun spread(wait: Duration): Duration = wait * (1 + random.nextDouble() * RETURN_SPREAD)

    /** The seed for the next selector; changes with each read. */
    val nextSeed: Long
        get() = random.nextLong()

    /** Returns the best upstream for [call], preferring upstreams that it was not sent to. */
    fun choose(call: ActiveCall): UpstreamView? {
        val untried = untried(call)
        return leastLoaded(untried.ifEmpty { usable }, isEngine = call.call.service.engine != null)
    }

    /** Returns whether an upstream is usable that [call] was not sent to. */
    fun hasUntried(call: ActiveCall): Boolean = untried(call).isNotEmpty()

    private fun untried(call: ActiveCall): List<UpstreamView> =
        usable.filterNot { it.entry.id in call.triedUpstreams }

    /**
     * Returns the upstream that shall back up the KV cache of a generation at [main], preferably in
     * another data centre; null if the engines support no backups or no other one of the same
     * software version is usable.
     */
    fun chooseBackup(call: RoutedCall, main: UpstreamView): UpstreamView? {
        if (call.service.engine?.supportsBackups != true) return null
        val others = available.filter {
            it.entry.id != main.entry.id && it.entry.softwareVersion == main.entry.softwareVersion
        }
        val inOtherDataCentres = others.filterNot { it.entry.dataCentre == main.entry.dataCentre }
        return leastLoaded(inOtherDataCentres.ifEmpty { others }, isEngine = true)
    }

    /** Returns the upstream that holds [copy], if it is up. */
    fun copyHolder(copy: KvCacheCopy?): UpstreamView? = copy?.let { state.upstreams[it.holder] }
        ?.takeIf {
            it.isUp(now) &&
                state.quotaWait(it, now) == ZERO &&
                origin.allows(it.entry.softwareVersion)
        }

    private fun leastLoaded(views: List<UpstreamView>, isEngine: Boolean): UpstreamView? =
        views.minByOrNull { view ->
            val isUnpreferred = isEngine && !view.isPreferred
            val penalty = if (isUnpreferred) UNPREFERRED_LOAD else 0.0
            load(view) + penalty + random.nextDouble() * TIE_BREAK_SPREAD
        }

    /** Returns the estimated load of [view], with penalties for recent failures. */
    fun load(view: UpstreamView): Double {
        val hasRecentFailure =
            view.failures > 0 || now - view.failedAt < RECENT_FAILURE_PERIOD && view.failedAt > ZERO
        return (loads[view.entry.id] ?: 0) +
            view.peerLoad + view.backups * BACKUP_LOAD +
            view.failureWeightAt(now) + if (hasRecentFailure) RECENT_FAILURE_LOAD else 0.0
    }

    private companion object {
        /** The load of one KV cache backup, in units of [ActiveCall.loadOf]. */
        const val BACKUP_LOAD = 0.3

        /** The extra load that a recent failure counts as. */
        const val RECENT_FAILURE_LOAD = 3.0

        /** The extra load that an engine counts as if other nodes prefer it. */
        const val UNPREFERRED_LOAD = 0.6

        /** Smaller differences of load are decided at random, so that nodes do not herd. */
        const val TIE_BREAK_SPREAD = 0.5
        const val RETURN_SPREAD = 0.25
        val RECENT_FAILURE_PERIOD = 1.seconds
        val ZERO = Duration.ZERO
    }
}

/** Returns this state with [change] added to the attempts at the upstream and its backup. */
internal fun PlacementState.withAttemptCounted(attempt: Attempt, change: Int): PlacementState =
    update(attempt.upstream) { it.copy(running = maxOf(0, it.running + change)) }
        .update(attempt.backup) { it.copy(backups = maxOf(0, it.backups + change)) }

/** Returns the ids of the upstreams that this call has attempts at. */
internal fun ActiveCall.upstreams(): Set<UpstreamId> = attempts.values.map { it.upstream }.toSet()

/** Whether the crash history allows [call] to be sent to another upstream at [now]. */
internal fun PlacementState.mayStart(call: ActiveCall, now: Duration): Boolean =
    crashes.isEmpty || crashes.allows(CallFingerprint.of(call.call), now)

/** Returns this state after an upstream began to answer [call], which clears its crashes. */
internal fun PlacementState.withCallAnswered(call: ActiveCall, now: Duration): PlacementState =
    when {
        crashes.isEmpty -> this
        else -> copy(crashes = crashes.withAnswer(CallFingerprint.of(call.call), now))
    }
