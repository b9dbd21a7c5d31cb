package org.bilberrycart.routing

import kotlin.random.Random
import kotlin.time.Duration
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.Isolation
import org.bilberrycart.model.Placement
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.UpstreamId

/** The result of a search for an upstream. */
internal sealed class Choice {
    /** [upstream] takes the work; [cursor] is the next position of round robin. */
    data class Chosen(val upstream: UpstreamState, val cursor: Int) : Choice()

    /** Upstreams match, but none has room. */
    data object Full : Choice()

    /** No upstream matches. */
    data object Unmatched : Choice()
}

/** Chooses an upstream of [pool] for [placement]; [random] is the only source of chance. */
internal class Chooser(
    private val state: RoutingState,
    private val pool: Pool,
    private val placement: Placement,
    private val now: Duration,
    private val random: Random,
) {
    private val routing = state.routingOf(placement.request.service)
    private val reserved = reservedShare()

    /** Where work may run alone: other nodes must not choose the same upstream meanwhile. */
    private val own: List<UpstreamId> by lazy {
        pool.home.filter { state.upstreams.getValue(it).isServing }
            .ifEmpty { pool.local + pool.remote }
    }

    fun choose(): Choice {
        val quick = if (placement.isolation == Isolation.NONE) byPolicy() else null
        if (quick != null) return Choice.Chosen(quick, nextCursor(quick))
        val serving = (0 until pool.size).map { at(it) }.filter { it.isServing }
        val preferred = serving.filter(::isPreferred).ifEmpty { serving }
        val open = preferred.filter(::hasRoom)
        return when {
            serving.isEmpty() -> Choice.Unmatched
            open.isEmpty() -> Choice.Full
            else -> leastLoaded(open).let { Choice.Chosen(it, nextCursor(it)) }
        }
    }

    private fun byPolicy(): UpstreamState? = when (val policy = routing.policy) {
        RoutingPolicy.RoundRobin -> nextInTurn()
        is RoutingPolicy.LeastOfRandom -> homeFirst(policy.candidates)
        is RoutingPolicy.Dedicated -> homeFirst(policy.candidates)
        is RoutingPolicy.PrefixAffinity -> holderOfPrefix(policy) ?: homeFirst(policy.candidates)
    }

    private fun nextInTurn(): UpstreamState? = (0 until pool.size).firstNotNullOfOrNull { step ->
        at((pool.cursor + step) % pool.size).takeIf(::isOpen)
    }

    private fun homeFirst(candidates: Int): UpstreamState? {
        val home = sample(pool.home, candidates)
        if (home != null && relativeLoad(home) < routing.spillAt) return home
        val other = localFirst(candidates)
        return when {
            home == null -> other
            other == null -> home
            relativeLoad(other) + UNSURE_SHARE < relativeLoad(home) -> other
            else -> home
        }
    }

    private fun localFirst(candidates: Int): UpstreamState? {
        val local = sample(pool.local, candidates)
        if (local != null && relativeLoad(local) < routing.spillAt) return local
        val remote = sample(pool.remote, candidates)
        return listOfNotNull(local, remote).minByOrNull(::relativeLoad)
    }

    private fun sample(ids: List<UpstreamId>, candidates: Int): UpstreamState? {
        if (ids.isEmpty()) return null
        return (0 until candidates)
            .map { state.upstreams.getValue(ids[random.nextInt(ids.size)]) }
            .filter(::isOpen)
            .minByOrNull(::relativeLoad)
    }

    private fun holderOfPrefix(policy: RoutingPolicy.PrefixAffinity): UpstreamState? {
        val request = placement.request as? GenerationRequest ?: return null
        val prefix = request.prompt.take(PREFIX_CHARACTERS).hashCode()
        val ids = pool.home.ifEmpty { pool.local + pool.remote }
        val members = ids.map { state.upstreams.getValue(it) }.filter { it.isServing }
        val mean = members.sumOf(::relativeLoad) / members.size.coerceAtLeast(1)
        val holder = members.filter(::isPreferred).maxByOrNull { score(prefix, it) }
        return holder?.takeIf {
            hasRoom(it) && it.load <= policy.loadBound * mean * it.capacity(now) + 1
        }
    }

    private fun leastLoaded(open: List<UpstreamState>): UpstreamState {
        val fewest = open.minOf { it.suspects }
        val fit = when (placement.isolation) {
            Isolation.NONE -> open
            Isolation.APART -> open.filter { it.suspects == fewest }
            Isolation.ALONE -> open
        }
        return (0..1).map { fit[random.nextInt(fit.size)] }.minBy(::relativeLoad)
    }

    private fun at(index: Int): UpstreamState = state.upstreams.getValue(pool[index])

    private fun nextCursor(chosen: UpstreamState): Int {
        if (routing.policy != RoutingPolicy.RoundRobin) return pool.cursor
        val position = (0 until pool.size).first { pool[it] == chosen.upstream.id }
        return (position + 1) % pool.size
    }

    private fun isOpen(candidate: UpstreamState): Boolean =
        candidate.isServing && isPreferred(candidate) && hasRoom(candidate)

    private fun isPreferred(candidate: UpstreamState): Boolean =
        !candidate.isEjected(now) && candidate.upstream.id !in placement.avoid

    private fun hasRoom(candidate: UpstreamState): Boolean {
        if (candidate.isFull(now)) return false
        val isClosed = candidate.isClosed(now)
        if (placement.isolation == Isolation.ALONE) {
            val isTaken = isClosed && candidate.isClosedByOther
            return candidate.load == 0 && !isTaken && candidate.upstream.id in own
        }
        if (isClosed) return false
        val limit = candidate.capacity(now) * (1 - reserved - unsureShare(candidate))
        val whole = limit.toInt()
        val part = score(0, candidate).toUInt().toDouble() / UInt.MAX_VALUE.toDouble()
        return candidate.load < if (part < limit - whole) whole + 1 else whole
    }

    private fun unsureShare(candidate: UpstreamState): Double {
        val isSure = pool.home.isEmpty() || candidate.upstream.id in pool.home
        return if (isSure || placement.isResume) 0.0 else UNSURE_SHARE
    }

    private fun relativeLoad(candidate: UpstreamState): Double =
        candidate.load / candidate.capacity(now)

    private fun reservedShare(): Double = when {
        placement.isResume -> 0.0

        routing.policy is RoutingPolicy.Dedicated -> routing.resumeReserve

        placement.request.requestClass == RequestClass.LONG_DRAFT ->
            minOf(1.0, routing.resumeReserve + routing.shortReserve)

        else -> routing.resumeReserve
    }

    private companion object {
        const val PREFIX_CHARACTERS = 256

        /** How far the load of an upstream that other nodes prefer may be off, as a share. */
        const val UNSURE_SHARE = 0.25
    }
}
