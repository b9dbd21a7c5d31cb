package org.bilberrycart.takeover

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.model.EventId
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.VmId
import org.bilberrycart.release.CallerId

/**
 * The generations that callers wait for and this node looks for.
 *
 * @property nextClaim the number of the next claim; must differ over restarts of the node, such as
 *   by starting at the incarnation.
 */
public data class TakeoverState(
    val self: Member,
    val settings: TakeoverSettings = TakeoverSettings(),
    val nextClaim: Long = 1,
    val members: PersistentMap<VmId, MemberRecord> = persistentHashMapOf(),
    val searches: PersistentMap<RequestId, Search> = persistentHashMapOf(),
) {
    /** A caller that waits, and its position. */
    public data class Waiting(val caller: CallerId, val after: EventId?)

    /**
     * The search for one generation.
     *
     * @property found members that said they have it and were not tried yet.
     * @property absent members that said they do not have it.
     * @property claimed the member whose answer to a claim is awaited, with [claimAttempts].
     * @property hadBehind whether some replica ended before the caller's position.
     * @property hadUndecided whether some holder could not decide.
     */
    public data class Search(
        val claim: Long,
        val organisation: OrganisationId,
        val callers: PersistentList<Waiting>,
        val startedAt: Duration,
        val askedAt: Duration,
        val found: PersistentSet<VmId> = persistentHashSetOf(),
        val absent: PersistentSet<VmId> = persistentHashSetOf(),
        val claimed: VmId? = null,
        val claimedAt: Duration = Duration.ZERO,
        val claimAttempts: Int = 0,
        val hadBehind: Boolean = false,
        val hadUndecided: Boolean = false,
    )
}
