package org.bilberrycart.routing

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How a service chooses among the upstreams that can take a piece of work. */
@Serializable
public sealed class RoutingPolicy {
    /** Each upstream in turn; the baseline. */
    @Serializable
    @SerialName("roundRobin")
    public data object RoundRobin : RoutingPolicy()

    /** The least loaded of [candidates] upstreams drawn at random, by lag-corrected load. */
    @Serializable
    @SerialName("leastOfRandom")
    public data class LeastOfRandom(val candidates: Int = 4) : RoutingPolicy()

    /**
     * The upstream that is likely to hold the prompt's prefix, while its load stays under
     * [loadBound] times the mean; then as [LeastOfRandom].
     */
    @Serializable
    @SerialName("prefixAffinity")
    public data class PrefixAffinity(val loadBound: Double = 1.25, val candidates: Int = 4) :
        RoutingPolicy()

    /**
     * A share [shortShare] of the upstreams takes short questions only, the others the rest; within
     * each part the least loaded of [candidates] is chosen.
     */
    @Serializable
    @SerialName("dedicated")
    public data class Dedicated(val shortShare: Double, val candidates: Int = 4) : RoutingPolicy()
}
