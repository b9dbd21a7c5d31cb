package org.bilberrycart.idempotency

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.RepeatMode
import org.bilberrycart.model.ServiceCall
import org.bilberrycart.model.UpstreamId

/**
 * The state of one call to a service that this node handles.
 *
 * @property version the version of the row of its record; 0 while it has none.
 * @property mayBeStored whether the outcome of an insert of its record is unknown.
 * @property storeCallId the number of its last store call; results of earlier ones are ignored.
 * @property dueAt when a postponed store call may be made.
 * @property attempts the number of dispatches requested so far.
 * @property upstream the upstream of the current attempt, once known.
 * @property avoid the upstreams of lost attempts, which routing avoids.
 * @property mayHaveRun whether an attempt may have reached a service.
 * @property isAnswered whether the caller was sent its answer.
 */
public data class ServiceCallState(
    val serviceCall: ServiceCall,
    val owner: CallOwner,
    val phase: CallPhase,
    val version: Long = 0,
    val mayBeStored: Boolean = false,
    val storeCallId: Long = 0,
    val dueAt: Duration = Duration.ZERO,
    val attempts: Int = 0,
    val upstream: UpstreamId? = null,
    val avoid: PersistentSet<UpstreamId> = persistentSetOf(),
    val mayHaveRun: Boolean = false,
    val isAnswered: Boolean = false,
) {
    /** The current attempt. */
    public val attempt: AttemptId
        get() = AttemptId(serviceCall.id, EPOCH, attempts)

    /** The key of its record; null for a call that needs no record. */
    public val recordKey: RecordKey?
        get() = serviceCall.key
            ?.takeIf { serviceCall.repeatMode == RepeatMode.NEVER }
            ?.let { RecordKey(serviceCall.organisation, serviceCall.service, it) }

    private companion object {
        const val EPOCH = 1
    }
}
