package org.bilberrycart.routing

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How an upstream is selected among those that can take a request. */
@Serializable
public sealed class RoutingPolicy {
    /** Selects each upstream in turn; this is the baseline for comparisons. */
    @Serializable
    @SerialName("roundRobin")
    public data object RoundRobin : RoutingPolicy()

    /** Selects the upstream with the lowest load per slot of [candidates] drawn at random. */
    @Serializable
    @SerialName("leastOfRandom")
    public data class LeastOfRandom(val candidates: Int = 4) : RoutingPolicy()

    /**
     * Selects the upstream that is likely to have the prefix of the prompt cached, while its load
     * is at most [loadBound] times the mean; otherwise selects like [LeastOfRandom].
     */
    @Serializable
    @SerialName("prefixAffinity")
    public data class PrefixAffinity(val loadBound: Double = 1.25, val candidates: Int = 4) :
        RoutingPolicy()

    /**
     * Reserves the share [shortShare] of the upstreams for short questions and the others for all
     * other work; selects within each part like [LeastOfRandom].
     */
    @Serializable
    @SerialName("dedicated")
    public data class Dedicated(val shortShare: Double, val candidates: Int = 4) : RoutingPolicy()
}
