package org.bilberrycart.membership

/**
 * Counters of the membership events of one node since its start.
 *
 * @property probes direct probes that this node sent.
 * @property suspicions suspicions that this node itself raised.
 * @property refutations wrong records of this node that it refuted.
 * @property deaths members that this node itself declared dead.
 * @property pauses times that this node was found to have been paused between two ticks.
 */
public data class MembershipCounts(
    val probes: Long = 0,
    val suspicions: Long = 0,
    val refutations: Long = 0,
    val deaths: Long = 0,
    val pauses: Long = 0,
)
