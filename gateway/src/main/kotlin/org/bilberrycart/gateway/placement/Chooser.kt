package org.bilberrycart.gateway.placement

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.model.CallFingerprint
import org.bilberrycart.gateway.model.RoutedCall
import org.bilberrycart.gateway.model.UpstreamId

/** Chooses upstreams for calls and for copies of their memory: the least loaded usable one. */
internal class Chooser(private val state: PlacementState, private val now: Duration) {
    private val random = Random(state.seed)
    private val loads = state.loads()

    /** The seed to go on with. */
    val nextSeed: Long
        get() = random.nextLong()

    /** Returns the best upstream for [call], preferring those that are not in [tried]. */
    fun choose(call: CallState): UpstreamView? {
        val usable = usable(call.call)
        val fresh = usable.filterNot { it.entry.id in call.tried }
        return best(fresh.ifEmpty { usable }, isEngine = call.call.service.engine != null)
    }

    /** Returns the upstream to keep the copy of a run at [main], in another data centre if any. */
    fun chooseBackup(call: RoutedCall, main: UpstreamView): UpstreamView? {
        if (call.service.engine?.keepsBackups != true) return null
        val others = usable(call).filterNot { it.entry.id == main.entry.id }
        val apart = others.filterNot { it.entry.dataCentre == main.entry.dataCentre }
        return best(apart.ifEmpty { others }, isEngine = true)
    }

    /** Returns the holder of [copy] if it may get work. */
    fun holder(copy: MemoryCopy?): UpstreamView? =
        copy?.let { state.upstreams[it.holder] }?.takeIf { it.isUp(now) }

    /** Returns the upstreams that may get [call]. */
    fun usable(call: RoutedCall): List<UpstreamView> = state.upstreams.values.filter {
        it.entry.service == call.service.name && it.isUsable(now)
    }

    private fun best(views: List<UpstreamView>, isEngine: Boolean): UpstreamView? =
        views.minByOrNull { view ->
            val isForeign = isEngine && !state.share.has(view.entry.id)
            val preference = if (isForeign) FOREIGN_LOAD else 0.0
            load(view) + preference + random.nextDouble() * TIE_SPREAD
        }

    /** Returns how much work [view] is believed to have, and how much it is doubted. */
    fun load(view: UpstreamView): Double {
        val isDoubtful = view.failures > 0 || now - view.failedAt < DOUBT && view.failedAt > ZERO
        return (loads[view.entry.id] ?: 0) +
            view.elsewhere + view.copies * COPY_LOAD +
            view.failureWeightAt(now) + if (isDoubtful) DOUBT_LOAD else 0.0
    }

    private companion object {
        /** Attempts that one copy of memory weighs as much as. */
        const val COPY_LOAD = 0.3

        /** Attempts that a recent loss weighs as much as. */
        const val DOUBT_LOAD = 3.0

        /** Engines that other nodes prefer count as having this much more to do. */
        const val FOREIGN_LOAD = 0.6

        /** Differences of load below this are left to chance, so that nodes do not herd. */
        const val TIE_SPREAD = 0.5
        val DOUBT = 1.seconds
        val ZERO = Duration.ZERO
    }
}

/** Returns this state with the attempt counted at its upstream and its backup. */
internal fun PlacementState.counted(attempt: Attempt, change: Int): PlacementState =
    update(attempt.upstream) { it.copy(running = maxOf(0, it.running + change)) }
        .update(attempt.backup) { it.copy(copies = maxOf(0, it.copies + change)) }

/** Returns the id of each upstream that [this] call has an attempt at. */
internal fun CallState.upstreams(): Set<UpstreamId> = attempts.values.map { it.upstream }.toSet()

/** Whether the content of [call] may begin at another upstream. */
internal fun PlacementState.allows(call: CallState): Boolean =
    crashes.isEmpty || crashes.allows(CallFingerprint.of(call.call))

/** Returns this state after an upstream began to answer [call]. */
internal fun PlacementState.answered(call: CallState, now: Duration): PlacementState = when {
    crashes.isEmpty -> this
    else -> copy(crashes = crashes.answered(CallFingerprint.of(call.call), now))
}
