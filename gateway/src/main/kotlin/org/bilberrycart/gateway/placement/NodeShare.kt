package org.bilberrycart.gateway.placement

import org.bilberrycart.gateway.model.UpstreamId

/**
 * The upstreams that this node prefers, so that nodes that select at the same moment select
 * different ones.
 *
 * The shares follow rendezvous hashing: an upstream belongs to the node whose address, hashed with
 * the upstream's id, gives the highest value. A node that joins takes upstreams over from the
 * others, and one that leaves passes its upstreams on; all other upstreams stay where they are.
 *
 * @property self the peer address of this node.
 * @property peers the peer addresses of the other nodes.
 */
public data class NodeShare(val self: String = "", val peers: Set<String> = emptySet()) {
    /** Whether [upstream] is in the share of this node. */
    public fun contains(upstream: UpstreamId): Boolean = rank(upstream) == 0

    /** Returns how many other nodes come before this one for [upstream]. */
    internal fun rank(upstream: UpstreamId): Int {
        val own = score(self, upstream)
        return peers.count { score(it, upstream) > own }
    }

    private fun score(node: String, upstream: UpstreamId): Int {
        val joined = node.hashCode() * NODE_MULTIPLIER + upstream.value.hashCode()
        val once = (joined xor (joined ushr OUTER_SHIFT)) * FIRST_MULTIPLIER
        val twice = (once xor (once ushr INNER_SHIFT)) * SECOND_MULTIPLIER
        return twice xor (twice ushr OUTER_SHIFT)
    }

    /**
     * [NODE_MULTIPLIER] combines both hashes; the others are the constants of the MurmurHash3
     * finalizer, with which each bit of the input affects every bit of the result.
     */
    private companion object {
        const val NODE_MULTIPLIER = -1640531527
        const val FIRST_MULTIPLIER = -2048144789
        const val SECOND_MULTIPLIER = -1028477387
        const val OUTER_SHIFT = 16
        const val INNER_SHIFT = 13
    }
}
