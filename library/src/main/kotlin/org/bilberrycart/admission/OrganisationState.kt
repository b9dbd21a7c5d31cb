package org.bilberrycart.admission

import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.ServiceId

/**
 * What one organisation may use and uses.
 *
 * @property heard what the other nodes together spend on it.
 * @property inService requests of this node that wait or run, for each service.
 * @property generations generations of this node that wait or run.
 * @property requests the allowance of new requests on this node; null before the first one.
 * @property tokens the allowance of tokens on this node; null before the first request.
 * @property requestRate new requests a second on this node.
 * @property tokenRate tokens a second on this node.
 * @property offeredRate seconds of work that arrive in a second on this node, admitted or not.
 */
public data class OrganisationState(
    val limits: OrganisationLimits = OrganisationLimits(),
    val heard: Usage = NO_USAGE,
    val inService: PersistentMap<ServiceId, Int> = persistentMapOf(),
    val generations: Int = 0,
    val requests: TokenBucket? = null,
    val tokens: TokenBucket? = null,
    val requestRate: DecayingRate = NO_RATE,
    val tokenRate: DecayingRate = NO_RATE,
    val offeredRate: DecayingRate = NO_RATE,
) {
    /** Requests of this node that wait or run. */
    val concurrent: Int
        get() = inService.values.sum()

    /** Whether it has work on any node; only then it has a share of the capacity. */
    val isActive: Boolean
        get() = inService.isNotEmpty() || heard.concurrent > 0

    /** Returns what this node spends on the organisation. */
    public fun usage(now: Duration): Usage = Usage(
        requestsPerSecond = requestRate.at(now),
        concurrent = concurrent,
        tokensPerMinute = tokenRate.at(now) * SECONDS_PER_MINUTE,
        offered = offeredRate.at(now),
    )

    /** Returns the new requests a second that this node may take, with [nodes] live nodes. */
    internal fun requestShare(nodes: Int): Double =
        nodeShare(limits.requestsPerSecond, nodes, heard.requestsPerSecond)

    /** Returns the tokens a second that this node may take, with [nodes] live nodes. */
    internal fun tokenShare(nodes: Int): Double =
        nodeShare(limits.tokensPerMinute.toDouble(), nodes, heard.tokensPerMinute) /
            SECONDS_PER_MINUTE

    /** Returns the generations that this node may run at once, with [nodes] live nodes. */
    internal fun generationShare(nodes: Int): Double =
        nodeShare(limits.concurrentGenerations.toDouble(), nodes, heard.concurrent.toDouble())

    /** Returns this organisation after work of [duration] arrived at [now]. */
    internal fun offered(duration: Duration, now: Duration): OrganisationState =
        copy(offeredRate = offeredRate.plus(duration.toDouble(DurationUnit.SECONDS), now))

    /** Returns this organisation with allowances refilled up to [now]. */
    internal fun refilled(nodes: Int, now: Duration): OrganisationState {
        val requestShare = requestShare(nodes)
        val tokenShare = tokenShare(nodes)
        val requestBurst = maxOf(1.0, requestShare * BURST_SECONDS)
        val tokenBurst = tokenShare * SECONDS_PER_MINUTE
        return copy(
            requests = (requests ?: TokenBucket(requestBurst, now))
                .refilled(requestShare, requestBurst, now),
            tokens = (tokens ?: TokenBucket(tokenBurst, now))
                .refilled(tokenShare, tokenBurst, now),
        )
    }

    /** Returns this organisation after one request to [service] was admitted at [now]. */
    internal fun admitted(service: ServiceId, isGeneration: Boolean, now: Duration) = copy(
        inService = inService.put(service, (inService[service] ?: 0) + 1),
        generations = generations + if (isGeneration) 1 else 0,
        requests = requests?.spent(1.0),
        requestRate = requestRate.plus(1.0, now),
    )

    /** Returns this organisation after [request] was over at [now] with [count] tokens. */
    internal fun ended(request: AdmittedRequest, count: Int, now: Duration): OrganisationState {
        val left = (inService[request.service] ?: 0) - 1
        val rest = inService.remove(request.service)
        return copy(
            inService = if (left > 0) rest.put(request.service, left) else rest,
            generations = generations - if (request.requestClass.isGeneration) 1 else 0,
            tokens = tokens?.spent(count.toDouble()),
            tokenRate = tokenRate.plus(count.toDouble(), now),
        )
    }

    private companion object {
        const val SECONDS_PER_MINUTE = 60
        const val BURST_SECONDS = 2.0
        val NO_USAGE = Usage()
        val NO_RATE = DecayingRate()
    }
}

/** Whether requests of the class run on model engines. */
internal val RequestClass.isGeneration: Boolean
    get() = this == RequestClass.SHORT_QUESTION || this == RequestClass.LONG_DRAFT

/**
 * Returns the part of [total] that one of [nodes] nodes may use while the others use [heard].
 *
 * Where all nodes want more than an equal part, each one settles on it; what some leave unused, the
 * others may use.
 */
internal fun nodeShare(total: Double, nodes: Int, heard: Double): Double =
    maxOf(total / nodes, total - heard)
