package org.bilberrycart.membership

/**
 * Counters of one node's membership since its start.
 *
 * @property suspicions suspicions that this node raised itself.
 * @property refutations suspicions of this node that it refuted.
 * @property deaths members that this node declared dead itself.
 * @property pauses gaps between ticks in which this node was not running.
 */
public data class MembershipCounts(
    val probes: Long = 0,
    val suspicions: Long = 0,
    val refutations: Long = 0,
    val deaths: Long = 0,
    val pauses: Long = 0,
)
