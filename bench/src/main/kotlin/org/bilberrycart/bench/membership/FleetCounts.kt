package org.bilberrycart.bench.membership

/**
 * What all nodes of a fleet did together.
 *
 * @property bytes bytes of messages sent, frame headers included.
 * @property links connections that had to be opened, by the idle limit of links.
 * @property falseSuspicions suspicions of a node that was running.
 * @property falseDeaths deaths declared of a node that was running.
 */
data class FleetCounts(
    val messages: Long = 0,
    val bytes: Long = 0,
    val links: Long = 0,
    val falseSuspicions: Long = 0,
    val falseDeaths: Long = 0,
)
