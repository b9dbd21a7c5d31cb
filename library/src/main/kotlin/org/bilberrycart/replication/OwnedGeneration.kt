package org.bilberrycart.replication

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.membership.Member
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.Lineage
import org.bilberrycart.model.Token

/**
 * A generation that this node owns.
 *
 * @property tokens all tokens so far.
 * @property place where its current attempt runs.
 * @property isStoreSent whether the whole generation was sent to the holder in this term.
 * @property isStoreAcked whether the holder confirmed in this term that it has the replica.
 * @property sent the number of tokens sent to the holder in this term.
 * @property acked the number of tokens that the holder confirmed in this term.
 * @property isPlaceSent whether [place] was sent to the holder.
 * @property released the number of tokens released to the caller: those that a holder once
 *   confirmed, or all while there is no holder and the policy allows that.
 * @property sentAt when the oldest unconfirmed token was last sent.
 * @property lastProgressAt when the holder last confirmed something new, or last had nothing to
 *   confirm.
 * @property isHandingOver whether this node leaves and another is to take the generation over.
 */
public data class OwnedGeneration(
    val generation: GenerationRequest,
    val epoch: Int,
    val lineage: Lineage = Lineage.start(epoch),
    val tokens: PersistentList<Token> = persistentListOf(),
    val end: AnswerPart? = null,
    val place: AttemptPlace? = null,
    val term: Int = 0,
    val holder: HolderState = HolderState.None,
    val isStoreSent: Boolean = false,
    val isStoreAcked: Boolean = false,
    val sent: Int = 0,
    val acked: Int = 0,
    val isEndAcked: Boolean = false,
    val isPlaceSent: Boolean = false,
    val released: Int = 0,
    val isEndReleased: Boolean = false,
    val sentAt: Duration = Duration.ZERO,
    val lastProgressAt: Duration = Duration.ZERO,
    val isHandingOver: Boolean = false,
) {
    /** The agreement with the current holder. */
    public val key: ReplicaKey
        get() = ReplicaKey(generation.id, epoch, term)

    /** Whether the holder has not confirmed everything, sent or not. */
    public val hasUnacked: Boolean
        get() = !isStoreAcked || acked < tokens.size || (end != null && !isEndAcked)

    /** Whether the holder has not confirmed everything that was sent. */
    public val isInFlight: Boolean
        get() = isStoreSent && (!isStoreAcked || sent > acked)

    /** The state of an owner's agreement with its holder. */
    public sealed class HolderState {
        /** There is no holder, and no earlier one that could still grant the generation away. */
        public data object None : HolderState()

        /** [member] is to hold the replica of this term. */
        public data class Active(val member: Member) : HolderState()

        /** [member] was asked to drop its replica, first at [since]. */
        public data class Retiring(val member: Member, val since: Duration) : HolderState()

        /** The table decides whether the owner may replace [member] by [next], or by no holder. */
        public data class Deciding(val member: Member, val next: Member?, val askedAt: Duration) :
            HolderState()
    }
}
