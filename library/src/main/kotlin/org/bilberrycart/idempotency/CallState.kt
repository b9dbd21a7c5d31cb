package org.bilberrycart.idempotency

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.RepeatMode
import org.bilberrycart.model.ServiceCall
import org.bilberrycart.model.UpstreamId

/**
 * One call on this node.
 *
 * @property version the version of its record; 0 while it has none.
 * @property mayBeStored whether an insert of its record had an unknown outcome.
 * @property operation the number of the store call whose result it waits for.
 * @property dueAt when a store call that waits for a tick may be made.
 * @property attempts dispatches asked for so far.
 * @property upstream the upstream of the current attempt, once known.
 * @property mayHaveRun whether an attempt may have reached a service.
 * @property isAnswered whether the caller has its answer.
 */
public data class CallState(
    val call: ServiceCall,
    val owner: CallOwner,
    val phase: CallPhase,
    val version: Long = 0,
    val mayBeStored: Boolean = false,
    val operation: Long = 0,
    val dueAt: Duration = Duration.ZERO,
    val attempts: Int = 0,
    val upstream: UpstreamId? = null,
    val avoid: PersistentSet<UpstreamId> = persistentSetOf(),
    val mayHaveRun: Boolean = false,
    val isAnswered: Boolean = false,
) {
    /** The current attempt. */
    public val attempt: AttemptId
        get() = AttemptId(call.id, EPOCH, attempts)

    /** The key of its record; null for calls without a record. */
    public val recordKey: RecordKey?
        get() = call.key
            ?.takeIf { call.repeatMode == RepeatMode.NEVER }
            ?.let { RecordKey(call.organisation, call.service, it) }

    private companion object {
        const val EPOCH = 1
    }
}
