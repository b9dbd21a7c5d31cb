package org.bilberrycart.admission

import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.ServiceId

/**
 * The limits and the usage of one organisation.
 *
 * @property peerUsage the usage on the other nodes together.
 * @property inFlightByService the number of requests of this node that wait or run, by service.
 * @property generations the number of generations of this node that wait or run.
 * @property requestBucket the allowance of new requests on this node; null before the first one.
 * @property tokenBucket the allowance of tokens on this node; null before the first request.
 * @property requestRate admitted requests per second on this node.
 * @property tokenRate generated tokens per second on this node.
 * @property offeredRate seconds of work that arrive per second on this node, admitted or not.
 */
public data class OrganisationState(
    val limits: OrganisationLimits = OrganisationLimits(),
    val peerUsage: Usage = NO_USAGE,
    val inFlightByService: PersistentMap<ServiceId, Int> = persistentMapOf(),
    val generations: Int = 0,
    val requestBucket: TokenBucket? = null,
    val tokenBucket: TokenBucket? = null,
    val requestRate: DecayingRate = NO_RATE,
    val tokenRate: DecayingRate = NO_RATE,
    val offeredRate: DecayingRate = NO_RATE,
) {
    /** The number of requests of this node that wait or run. */
    val concurrent: Int
        get() = inFlightByService.values.sum()

    /** Whether the organisation has work on any node; only then it has a share of the capacity. */
    val isActive: Boolean
        get() = inFlightByService.isNotEmpty() || peerUsage.concurrent > 0

    /** Returns the usage on this node at [now]. */
    public fun usage(now: Duration): Usage = Usage(
        requestsPerSecond = requestRate.at(now),
        concurrent = concurrent,
        tokensPerMinute = tokenRate.at(now) * SECONDS_PER_MINUTE,
        offered = offeredRate.at(now),
    )

    /** Returns how many requests per second this node may admit, given [nodeCount] live nodes. */
    internal fun requestShare(nodeCount: Int): Double =
        nodeShare(limits.requestsPerSecond, nodeCount, peerUsage.requestsPerSecond)

    /** Returns how many tokens per second this node may generate, given [nodeCount] live nodes. */
    internal fun tokenShare(nodeCount: Int): Double =
        nodeShare(limits.tokensPerMinute.toDouble(), nodeCount, peerUsage.tokensPerMinute) /
            SECONDS_PER_MINUTE

    /** Returns how many generations this node may run at once, given [nodeCount] live nodes. */
    internal fun generationShare(nodeCount: Int): Double = nodeShare(
        limits.concurrentGenerations.toDouble(),
        nodeCount,
        peerUsage.concurrent.toDouble(),
    )

    /** Returns this state after work of the expected [duration] arrived at [now]. */
    internal fun withOfferedWork(duration: Duration, now: Duration): OrganisationState =
        copy(offeredRate = offeredRate.withEvents(duration.toDouble(DurationUnit.SECONDS), now))

    /** Returns this state with both allowances refilled up to [now]. */
    internal fun withRefilledBuckets(nodeCount: Int, now: Duration): OrganisationState {
        val requestShare = requestShare(nodeCount)
        val tokenShare = tokenShare(nodeCount)
        val requestBurst = maxOf(1.0, requestShare * BURST_SECONDS)
        val tokenBurst = tokenShare * SECONDS_PER_MINUTE
        return copy(
            requestBucket = (requestBucket ?: TokenBucket(requestBurst, now))
                .withRefill(requestShare, requestBurst, now),
            tokenBucket = (tokenBucket ?: TokenBucket(tokenBurst, now))
                .withRefill(tokenShare, tokenBurst, now),
        )
    }

    /** Returns this state after one request to [service] was admitted at [now]. */
    internal fun withAdmitted(service: ServiceId, isGeneration: Boolean, now: Duration) = copy(
        inFlightByService = inFlightByService.put(service, (inFlightByService[service] ?: 0) + 1),
        generations = generations + if (isGeneration) 1 else 0,
        requestBucket = requestBucket?.withSpent(1.0),
        requestRate = requestRate.withEvents(1.0, now),
    )

    /** Returns this state after [request] ended at [now] with [tokenCount] tokens. */
    internal fun withEnded(
        request: AdmittedRequest,
        tokenCount: Int,
        now: Duration,
    ): OrganisationState {
        val remaining = (inFlightByService[request.service] ?: 0) - 1
        val rest = inFlightByService.remove(request.service)
        return copy(
            inFlightByService = if (remaining > 0) rest.put(request.service, remaining) else rest,
            generations = generations - if (request.requestClass.isGeneration) 1 else 0,
            tokenBucket = tokenBucket?.withSpent(tokenCount.toDouble()),
            tokenRate = tokenRate.withEvents(tokenCount.toDouble(), now),
        )
    }

    private companion object {
        const val SECONDS_PER_MINUTE = 60

        /** How many seconds of the allowed request rate may be used at once. */
        const val BURST_SECONDS = 2.0
        val NO_USAGE = Usage()
        val NO_RATE = DecayingRate()
    }
}

/** Whether requests of this class are generations, which run on model engines. */
internal val RequestClass.isGeneration: Boolean
    get() = this == RequestClass.SHORT_QUESTION || this == RequestClass.LONG_DRAFT

/**
 * Returns the part of [total] that one of [nodeCount] nodes may use while the others use
 * [peerUsage].
 *
 * If all nodes want more than an equal part, each one converges to it; what some nodes leave
 * unused, the others may use.
 */
internal fun nodeShare(total: Double, nodeCount: Int, peerUsage: Double): Double =
    maxOf(total / nodeCount, total - peerUsage)
