package org.bilberrycart.replication

/**
 * Counters of one replication shard since its start.
 *
 * @property fenced generations that another node took over.
 * @property switches changes of the holder of an owned generation.
 * @property decisions verdicts requested from the table.
 * @property grants replicas whose generation was granted to a new owner.
 * @property adoptions generations that this node took over.
 */
public data class ReplicationCounters(
    val fenced: Long = 0,
    val switches: Long = 0,
    val decisions: Long = 0,
    val grants: Long = 0,
    val adoptions: Long = 0,
)
