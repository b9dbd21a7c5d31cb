package org.bilberrycart.replication

/**
 * Counters of one replication shard since its start.
 *
 * @property fenced generations that another node took over.
 * @property switches moves to another holder.
 * @property decisions verdicts asked of the table.
 * @property grants generations given to a new owner.
 * @property adoptions generations taken over.
 */
public data class ReplicationCounts(
    val fenced: Long = 0,
    val switches: Long = 0,
    val decisions: Long = 0,
    val grants: Long = 0,
    val adoptions: Long = 0,
)
