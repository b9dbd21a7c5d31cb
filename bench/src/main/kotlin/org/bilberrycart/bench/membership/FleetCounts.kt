package org.bilberrycart.bench.membership

/**
 * The totals of all nodes of a fleet.
 *
 * @property messages the number of messages sent.
 * @property bytes the number of bytes of the messages sent, frame headers included.
 * @property links the number of connections opened, given that idle links are closed.
 * @property falseSuspicions how often a node began to suspect a running node by itself.
 * @property falseDeaths how often a node declared a running node dead by itself.
 */
data class FleetCounts(
    val messages: Long = 0,
    val bytes: Long = 0,
    val links: Long = 0,
    val falseSuspicions: Long = 0,
    val falseDeaths: Long = 0,
)
