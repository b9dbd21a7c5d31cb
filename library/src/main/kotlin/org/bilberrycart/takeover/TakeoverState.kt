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
 * The searches for the generations that reconnected callers wait for.
 *
 * @property nextClaim the number of the next claim. It must not repeat after a restart of the
 *   node, so it starts, for example, at the incarnation.
 */
public data class TakeoverState(
    val self: Member,
    val settings: TakeoverSettings = TakeoverSettings(),
    val nextClaim: Long = 1,
    val members: PersistentMap<VmId, MemberRecord> = persistentHashMapOf(),
    val searches: PersistentMap<RequestId, Search> = persistentHashMapOf(),
) {
    /** A caller that waits for a generation and has every token up to [after]; null for none. */
    public data class WaitingCaller(val caller: CallerId, val after: EventId?)

    /**
     * The search for one generation.
     *
     * @property claim the number that identifies this search in messages.
     * @property startedAt when the search started.
     * @property queriedAt when the candidates were last queried, or when the last claim ended
     *   without a decision.
     * @property holders members that have the generation and were not sent a claim yet.
     * @property withoutReplica members that do not have the generation, or not enough of it.
     * @property claimed the member whose reply to a claim is awaited; null if none.
     * @property claimedAt when the claim was last sent.
     * @property claimAttempts how often the claim was sent to [claimed].
     * @property hasReplicaBehind whether a replica ended before the caller's position.
     * @property hasUndecidedHolder whether a holder could not decide on the claim.
     */
    public data class Search(
        val claim: Long,
        val organisation: OrganisationId,
        val callers: PersistentList<WaitingCaller>,
        val startedAt: Duration,
        val queriedAt: Duration,
        val holders: PersistentSet<VmId> = persistentHashSetOf(),
        val withoutReplica: PersistentSet<VmId> = persistentHashSetOf(),
        val claimed: VmId? = null,
        val claimedAt: Duration = Duration.ZERO,
        val claimAttempts: Int = 0,
        val hasReplicaBehind: Boolean = false,
        val hasUndecidedHolder: Boolean = false,
    )
}
