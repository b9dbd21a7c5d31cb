package org.bilberrycart.replication

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import org.bilberrycart.membership.Member
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.Lineage

/**
 * A copy of a generation that [owner] owns.
 *
 * @property lastSeenAt when the owner last sent a message about the generation.
 * @property isYielded whether the owner yielded the generation, so that a claimant may have it.
 * @property claim the claim that is being decided.
 * @property grantedClaim the number of the claim by which [owner] became the owner.
 */
public data class Replica(
    val key: ReplicaKey,
    val owner: Member,
    val generation: GenerationRequest,
    val lineage: Lineage,
    val texts: PersistentList<String>,
    val place: AttemptPlace?,
    val end: ReplicaEnd?,
    val lastSeenAt: Duration,
    val isYielded: Boolean = false,
    val claim: PendingClaim? = null,
    val grantedClaim: Long? = null,
) {
    /**
     * A claim of [claimant] that waits for the owner, or for the table if [isDeciding].
     *
     * @property number the number that the claimant gave its claim.
     * @property since when the owner or the table was last asked.
     */
    public data class PendingClaim(
        val claimant: Member,
        val number: Long,
        val since: Duration,
        val isDeciding: Boolean = false,
    )
}
