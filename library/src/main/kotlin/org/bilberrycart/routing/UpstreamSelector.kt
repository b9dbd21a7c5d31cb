package org.bilberrycart.routing

import kotlin.random.Random
import kotlin.time.Duration
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.Isolation
import org.bilberrycart.model.Placement
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.UpstreamId

/** The result of selecting an upstream for a placement. */
internal sealed class Selection {
    /** [upstream] takes the placement; [cursor] is the next round-robin position of the pool. */
    data class Selected(val upstream: UpstreamState, val cursor: Int) : Selection()

    /** The pool has upstreams that accept new work, but none of them has room. */
    data object Full : Selection()

    /** The pool has no upstream that accepts new work. */
    data object Unmatched : Selection()
}

/**
 * Selects an upstream of [pool] for [placement].
 *
 * All random decisions use [random], so that the same state and seed give the same selection.
 */
internal class UpstreamSelector(
    private val state: RoutingState,
    private val pool: Pool,
    private val placement: Placement,
    private val now: Duration,
    private val random: Random,
) {
    private val routing = state.routingOf(placement.request.service)
    private val reservedShare = reservedShare()

    /**
     * The upstreams on which work may run alone.
     *
     * They are this node's preferred ones if any accepts work, so that two nodes seldom pick the
     * same upstream at the same time.
     */
    private val exclusiveCandidates: List<UpstreamId> by lazy {
        pool.preferred.filter { state.upstreams.getValue(it).isServing }
            .ifEmpty { pool.local + pool.remote }
    }

    /**
     * Returns the selected upstream, or why none is.
     *
     * The policy looks at a sample of the pool only. If it finds nothing, or the placement is
     * isolated, the whole pool is searched; ejected upstreams and those to avoid are used there
     * only if no others are left.
     */
    fun select(): Selection {
        val byPolicy = if (placement.isolation == Isolation.NONE) selectByPolicy() else null
        if (byPolicy != null) return Selection.Selected(byPolicy, nextCursor(byPolicy))
        val serving = (0 until pool.size).map { upstreamAt(it) }.filter { it.isServing }
        val eligible = serving.filter(::isEligible).ifEmpty { serving }
        val available = eligible.filter(::hasRoom)
        return when {
            serving.isEmpty() -> Selection.Unmatched
            available.isEmpty() -> Selection.Full
            else -> leastLoaded(available).let { Selection.Selected(it, nextCursor(it)) }
        }
    }

    private fun selectByPolicy(): UpstreamState? = when (val policy = routing.policy) {
        RoutingPolicy.RoundRobin -> nextRoundRobin()
        is RoutingPolicy.LeastOfRandom -> selectPreferredFirst(policy.candidates)
        is RoutingPolicy.Dedicated -> selectPreferredFirst(policy.candidates)
        is RoutingPolicy.PrefixAffinity ->
            selectPrefixHolder(policy) ?: selectPreferredFirst(policy.candidates)
    }

    private fun nextRoundRobin(): UpstreamState? =
        (0 until pool.size).firstNotNullOfOrNull { offset ->
            upstreamAt((pool.cursor + offset) % pool.size).takeIf(::isAvailable)
        }

    private fun selectPreferredFirst(candidates: Int): UpstreamState? {
        val preferred = sample(pool.preferred, candidates)
        if (preferred != null && relativeLoad(preferred) < routing.spillAt) return preferred
        val other = selectLocalFirst(candidates)
        return when {
            preferred == null -> other
            other == null -> preferred
            relativeLoad(other) + LOAD_UNCERTAINTY < relativeLoad(preferred) -> other
            else -> preferred
        }
    }

    private fun selectLocalFirst(candidates: Int): UpstreamState? {
        val local = sample(pool.local, candidates)
        if (local != null && relativeLoad(local) < routing.spillAt) return local
        val remote = sample(pool.remote, candidates)
        return listOfNotNull(local, remote).minByOrNull(::relativeLoad)
    }

    private fun sample(ids: List<UpstreamId>, candidates: Int): UpstreamState? {
        if (ids.isEmpty()) return null
        return (0 until candidates)
            .map { state.upstreams.getValue(ids[random.nextInt(ids.size)]) }
            .filter(::isAvailable)
            .minByOrNull(::relativeLoad)
    }

    private fun selectPrefixHolder(policy: RoutingPolicy.PrefixAffinity): UpstreamState? {
        val request = placement.request as? GenerationRequest ?: return null
        val prefix = request.prompt.take(PREFIX_LENGTH).hashCode()
        val ids = pool.preferred.ifEmpty { pool.local + pool.remote }
        val members = ids.map { state.upstreams.getValue(it) }.filter { it.isServing }
        val meanLoad = members.sumOf(::relativeLoad) / members.size.coerceAtLeast(1)
        val holder = members.filter(::isEligible).maxByOrNull { rendezvousScore(prefix, it) }
        return holder?.takeIf {
            hasRoom(it) && it.load <= policy.loadBound * meanLoad * it.capacity(now) + 1
        }
    }

    private fun leastLoaded(available: List<UpstreamState>): UpstreamState {
        val fewestSuspects = available.minOf { it.suspectAttempts }
        val candidates = when (placement.isolation) {
            Isolation.NONE -> available
            Isolation.APART -> available.filter { it.suspectAttempts == fewestSuspects }
            Isolation.ALONE -> available
        }
        return (0..1).map { candidates[random.nextInt(candidates.size)] }.minBy(::relativeLoad)
    }

    private fun upstreamAt(index: Int): UpstreamState = state.upstreams.getValue(pool[index])

    private fun nextCursor(selected: UpstreamState): Int {
        if (routing.policy != RoutingPolicy.RoundRobin) return pool.cursor
        val position = (0 until pool.size).first { pool[it] == selected.upstream.id }
        return (position + 1) % pool.size
    }

    private fun isAvailable(candidate: UpstreamState): Boolean =
        candidate.isServing && isEligible(candidate) && hasRoom(candidate)

    private fun isEligible(candidate: UpstreamState): Boolean =
        !candidate.isEjected(now) && candidate.upstream.id !in placement.avoid

    private fun hasRoom(candidate: UpstreamState): Boolean {
        if (candidate.isFull(now)) return false
        val isClosed = candidate.isClosed(now)
        if (placement.isolation == Isolation.ALONE) {
            val isDrainedByOther = isClosed && candidate.isClosedByOther
            return candidate.load == 0 &&
                !isDrainedByOther &&
                candidate.upstream.id in exclusiveCandidates
        }
        if (isClosed) return false
        val limit = candidate.capacity(now) * (1 - reservedShare - loadUncertainty(candidate))
        val wholeSlots = limit.toInt()
        // Rounds the limit up on a fixed part of the upstreams, so that their mean is the limit.
        val threshold =
            rendezvousScore(0, candidate).toUInt().toDouble() / UInt.MAX_VALUE.toDouble()
        return candidate.load < if (threshold < limit - wholeSlots) wholeSlots + 1 else wholeSlots
    }

    private fun loadUncertainty(candidate: UpstreamState): Double {
        val isLoadCertain = pool.preferred.isEmpty() || candidate.upstream.id in pool.preferred
        return if (isLoadCertain || placement.isResume) 0.0 else LOAD_UNCERTAINTY
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
        const val PREFIX_LENGTH = 256

        /**
         * The share of the slots by which the known load of an upstream that other nodes prefer
         * may be off, because load reports lag.
         */
        const val LOAD_UNCERTAINTY = 0.25
    }
}
