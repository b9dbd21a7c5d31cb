package org.bilberrycart.gateway.placement

import org.bilberrycart.gateway.model.UpstreamId

/**
 * The upstreams that one of several nodes prefers, so that nodes that choose at the same moment
 * choose different ones. Each node draws a number for each upstream from their names; the highest
 * has it, so that a node that comes or goes changes only its own share.
 *
 * @property self the name of this node.
 * @property peers the names of the others.
 */
public data class NodeShare(val self: String = "", val peers: Set<String> = emptySet()) {
    /** Whether [upstream] is in the share of this node. */
    public fun has(upstream: UpstreamId): Boolean {
        val own = draw(self, upstream)
        return peers.none { draw(it, upstream) > own }
    }

    private fun draw(node: String, upstream: UpstreamId): Int {
        val joined = node.hashCode() * JOIN + upstream.value.hashCode()
        val once = (joined xor (joined ushr HALF)) * FIRST_MIX
        val twice = (once xor (once ushr THIRD)) * SECOND_MIX
        return twice xor (twice ushr HALF)
    }

    /** The constants of the final mixing of MurmurHash3, which spreads each bit over all others. */
    private companion object {
        const val JOIN = -1640531527
        const val FIRST_MIX = -2048144789
        const val SECOND_MIX = -1028477387
        const val HALF = 16
        const val THIRD = 13
    }
}
