package org.bilberrycart.replication

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import org.bilberrycart.membership.Member
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.Lineage

/**
 * A copy of a generation that [owner] owns.
 *
 * @property touchedAt when the owner was last heard of.
 * @property isYielded whether the owner gave the generation up, so that it may be given away.
 * @property claim the claim that is being decided.
 * @property granted the number of the claim that made [owner] the owner.
 */
public data class Replica(
    val key: ReplicaKey,
    val owner: Member,
    val generation: GenerationRequest,
    val lineage: Lineage,
    val texts: PersistentList<String>,
    val place: AttemptPlace?,
    val end: ReplicaEnd?,
    val touchedAt: Duration,
    val isYielded: Boolean = false,
    val claim: PendingClaim? = null,
    val granted: Long? = null,
) {
    /** A claim of [claimant] that waits for the owner, or for the table if [isDeciding]. */
    public data class PendingClaim(
        val claimant: Member,
        val number: Long,
        val since: Duration,
        val isDeciding: Boolean = false,
    )
}
