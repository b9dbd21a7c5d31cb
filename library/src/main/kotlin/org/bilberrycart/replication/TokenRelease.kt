package org.bilberrycart.replication

import kotlin.time.Duration
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions
import org.bilberrycart.replication.OwnedGeneration.HolderState

/** Decides which tokens of an owned generation may be released to the caller. */
internal object TokenRelease {
    /** Stores [owned] and releases what may be sent to the caller. */
    fun updateAndRelease(
        state: ReplicationState,
        owned: OwnedGeneration,
        now: Duration,
    ): ReplicationStep {
        val limit = when {
            owned.isEndReleased -> owned.released
            mayReleaseUnreplicated(state, owned) -> owned.tokens.size
            else -> owned.acked
        }
        val end = owned.end.takeIf { isEndDue(state, owned, limit) }
        val next = owned.copy(
            released = maxOf(owned.released, limit),
            isEndReleased = owned.isEndReleased || end != null,
        )
        val id = owned.generation.id
        val step = Step(
            state.copy(owned = state.owned.put(id, next)),
            listOfNotNull(release(owned, limit), end?.let { endOf(owned, it) })
                .toPersistentList(),
        )
        return if (isHandOverDue(next)) step.then { handOverNow(it, next, now) } else step
    }

    private fun release(owned: OwnedGeneration, limit: Int): ReplicationAction? {
        if (limit <= owned.released) return null
        val tokens = owned.tokens.subList(owned.released, limit)
        return ReplicationAction.Release(owned.generation.id, owned.epoch, tokens)
    }

    fun endOf(owned: OwnedGeneration, end: AnswerPart) =
        ReplicationAction.ReleaseEnd(owned.generation.id, owned.epoch, end)

    private fun isEndDue(state: ReplicationState, owned: OwnedGeneration, limit: Int): Boolean {
        val isConfirmed = owned.isEndAcked || mayReleaseUnreplicated(state, owned)
        return !owned.isEndReleased && isConfirmed && limit >= owned.tokens.size
    }

    private fun mayReleaseUnreplicated(state: ReplicationState, owned: OwnedGeneration): Boolean {
        if (owned.holder != HolderState.None) return false
        return when (state.settings.policyOf(owned.generation.service)) {
            is ReplicationPolicy.Required -> false
            ReplicationPolicy.Preferred, ReplicationPolicy.Off -> true
        }
    }

    private fun isHandOverDue(owned: OwnedGeneration): Boolean = owned.isHandingOver &&
        owned.end == null &&
        owned.holder is HolderState.Active &&
        !owned.hasUnacked

    private fun handOverNow(state: ReplicationState, owned: OwnedGeneration, now: Duration) =
        OwnerSteps.loseOwnership(state, owned, now).then {
            val holder = (owned.holder as HolderState.Active).member
            it.withActions(sendAction(holder, ReplicationMessage.Yielded(owned.key)))
        }
}
