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
 * @property tokens the whole journal.
 * @property isStored whether the whole went to the holder in this term; [isHeld] once confirmed.
 * @property sent tokens that went to the holder in this term.
 * @property acked tokens that the holder confirmed in this term.
 * @property released tokens that went to the caller; never more than were once confirmed.
 * @property sentAt when the oldest unconfirmed token was last sent.
 * @property progressAt when the holder last confirmed something, or last had nothing to confirm.
 * @property handingOver whether the node leaves and another is to take the generation over.
 */
public data class Owned(
    val generation: GenerationRequest,
    val epoch: Int,
    val lineage: Lineage = Lineage.start(epoch),
    val tokens: PersistentList<Token> = persistentListOf(),
    val end: AnswerPart? = null,
    val place: AttemptPlace? = null,
    val term: Int = 0,
    val holder: HolderState = HolderState.None,
    val isStored: Boolean = false,
    val isHeld: Boolean = false,
    val sent: Int = 0,
    val acked: Int = 0,
    val isEndAcked: Boolean = false,
    val isPlaceSent: Boolean = false,
    val released: Int = 0,
    val isEndReleased: Boolean = false,
    val sentAt: Duration = Duration.ZERO,
    val progressAt: Duration = Duration.ZERO,
    val handingOver: Boolean = false,
) {
    /** The agreement in force. */
    public val key: ReplicaKey
        get() = ReplicaKey(generation.id, epoch, term)

    /** Whether the holder has not confirmed all there is. */
    public val isOutstanding: Boolean
        get() = !isHeld || acked < tokens.size || (end != null && !isEndAcked)

    /** Whether something that was sent is not confirmed. */
    public val isInFlight: Boolean
        get() = isStored && (!isHeld || sent > acked)

    /** How an owner stands to its holder. */
    public sealed class HolderState {
        /** No holder, and none was left behind that could give the generation away. */
        public data object None : HolderState()

        /** [member] holds the replica of this term. */
        public data class Active(val member: Member) : HolderState()

        /** [member] was asked to give its replica up. */
        public data class Retiring(val member: Member, val since: Duration) : HolderState()

        /** The table decides whether the owner may go on without [member]. */
        public data class Deciding(val member: Member, val next: Member?, val askedAt: Duration) :
            HolderState()
    }
}
