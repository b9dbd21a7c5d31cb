package org.bilberrycart.gateway.origins

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.ServiceName

/**
 * A stream that this node sent from its start.
 *
 * @property segment the record that holds it, see [OriginRecords].
 */
public data class SentStream(
    val service: ServiceName,
    val softwareVersion: String,
    val sentAt: Duration,
    val segment: Long,
)

/**
 * A caller that resumes a stream.
 *
 * @property isRead whether a read of the records that is in progress began after the caller came.
 */
public data class Seeker(
    val call: CallKey,
    val requestId: String?,
    val service: ServiceName,
    val since: Duration,
    val isRead: Boolean = false,
)

/**
 * What a node knows of where streams began.
 *
 * @property process names this process in the keys of its records, as NODE/START.
 * @property services the software versions of each service.
 * @property sent the streams that this node sent lately, by the id of their request.
 * @property recorded the software versions at which streams of all nodes began, as last read.
 * @property hasRead whether the records were read since the node started.
 * @property lastCall the number of the last call to the store.
 * @property reading the number of the read in progress; null if none is.
 * @property readAt when the last read began.
 * @property writingCall the number of the write in progress; null if none is.
 * @property writtenAt when the last write began.
 * @property unwritten the segments that have changed since they were last written.
 * @property hasNewVersions whether a service has got a further version since the last write.
 * @property written the segments that are in the store.
 * @property writing the segments that the write in progress writes.
 * @property staleKeys keys of records that nobody needs any more.
 * @property seekers the callers that wait for an answer.
 * @property wasRecording whether streams were recorded at the last look.
 * @property recordedUntil streams that were sent until then are in the store, as far as they must.
 * @property beginOnlyAt where streams shall begin while they can't be recorded, by service.
 * @property tickedAt when the timer last fired.
 * @property outOfStepAt when the node last lacked changes, or may have; null if it never did.
 * @property storeClockOffset the store's clock less this node's, in milliseconds; null if unknown.
 */
public data class OriginsState(
    val process: String,
    val services: PersistentMap<ServiceName, ServiceVersions> = persistentMapOf(),
    val sent: PersistentMap<String, SentStream> = persistentMapOf(),
    val recorded: PersistentMap<String, String> = persistentMapOf(),
    val hasRead: Boolean = false,
    val lastCall: Long = 0,
    val reading: Long? = null,
    val readAt: Duration = Duration.ZERO,
    val writingCall: Long? = null,
    val writtenAt: Duration = Duration.ZERO,
    val unwritten: PersistentSet<Long> = persistentSetOf(),
    val hasNewVersions: Boolean = false,
    val written: PersistentSet<Long> = persistentSetOf(),
    val writing: PersistentSet<Long> = persistentSetOf(),
    val staleKeys: PersistentSet<String> = persistentSetOf(),
    val seekers: PersistentList<Seeker> = persistentListOf(),
    val wasRecording: Boolean = false,
    val recordedUntil: Duration = Duration.ZERO,
    val beginOnlyAt: PersistentMap<ServiceName, String> = persistentMapOf(),
    val tickedAt: Duration = Duration.ZERO,
    val outOfStepAt: Duration? = null,
    val storeClockOffset: Long? = null,
) {
    /** Whether several versions of a service serve, or did lately. */
    public fun isRecording(now: Duration): Boolean = services.values.any { it.isMixed(now) }

    /** Returns whether the versions that this node lists are those that other nodes list too. */
    internal fun isInStep(now: Duration): Boolean {
        val isLate = now - tickedAt >= MAX_TICK_GAP
        val isBack = outOfStepAt == null || now - outOfStepAt >= TIME_TO_CATCH_UP
        return !isLate && isBack
    }

    /** Returns the time of this node at which the store's clock shows [storeMillis]. */
    internal fun localMillis(storeMillis: Long): Long = storeMillis - (storeClockOffset ?: 0)

    /** Returns the time of the store's clock at [now]; null before the store has answered. */
    internal fun storeMillis(now: Duration): Long? =
        storeClockOffset?.let { now.inWholeMilliseconds + it }

    private companion object {
        /** The timer of a node that runs fires more often. */
        val MAX_TICK_GAP = 700.milliseconds

        /** How long after it was out of step a node may still lack changes. */
        val TIME_TO_CATCH_UP = 3.seconds
    }
}
