package org.bilberrycart.gateway.origins

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.bilberrycart.gateway.records.RecordReply
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.withActions

/** Writes the records of where streams began, and limits streams while that fails. */
internal object OriginWrites {
    /** How long a call of the store may take. */
    val MAX_CALL_TIME = 1.seconds

    /** Segments in one write, whose number of records the store limits. */
    private const val MAX_SEGMENTS = 16

    /** The first event of a stream takes longer than this and the write. */
    private val WRITE_INTERVAL = 200.milliseconds
    private val WRITE_INTERVAL_PER_PEER = 10.milliseconds

    /** How often the records of services are written anew. */
    private val SERVICE_INTERVAL = 5.seconds

    /** A write of a store that answers takes less. */
    private val MAX_WRITE_TIME = 100.milliseconds

    /** Writes what is new, if that is due. */
    fun writeIfDue(
        state: OriginsState,
        peers: Int,
        now: Duration,
    ): Step<OriginsState, OriginsAction> {
        val storeMillis = state.storeMillis(now) ?: return Step(state)
        val isOverdue = state.writingCall != null && now - state.writtenAt >= MAX_CALL_TIME
        val isFree = state.writingCall == null || isOverdue
        val interval = writeInterval(peers)
        val hasNews = state.unwritten.isNotEmpty() || state.hasNewVersions
        val isDue = now - state.writtenAt >= if (hasNews) interval else SERVICE_INTERVAL
        if (!state.isRecording(now) || !isFree || !isDue) return Step(state)
        val segments = state.unwritten.addAll(if (isOverdue) state.writing else emptySet())
        val call = state.lastCall + 1
        val batch = segments.take(MAX_SEGMENTS).toPersistentSet()
        val write =
            OriginRecords.write(state.copy(unwritten = batch, lastCall = call), now, storeMillis)
        val next = state.copy(
            lastCall = call,
            writingCall = call,
            writtenAt = now,
            hasNewVersions = false,
            unwritten = segments.removeAll(batch),
            writing = batch,
            staleKeys = state.staleKeys.removeAll(write.removals),
        )
        return Step(next, persistentListOf(write))
    }

    /** Notes the outcome of a write. */
    fun replied(
        state: OriginsState,
        event: OriginsEvent.WriteReplied,
        now: Duration,
    ): OriginsState {
        if (event.call != state.writingCall) return state
        return when (val reply = event.reply) {
            is RecordReply.Written -> OriginRecords.withWritten(state, now, reply.storeMillis)
            is RecordReply.Failed, is RecordReply.Page -> state.copy(
                writingCall = null,
                hasNewVersions = true,
                unwritten = state.unwritten.addAll(state.writing),
                writing = persistentSetOf(),
            )
        }
    }

    /**
     * Lets streams begin only at the version that is inferred for those without a record, for as
     * long as they can't be recorded.
     */
    fun limitVersions(
        state: OriginsState,
        peers: Int,
        now: Duration,
    ): Step<OriginsState, OriginsAction> {
        val isRecorded = state.unwritten.isEmpty() && state.writing.isEmpty()
        val current = if (isRecorded) state.copy(recordedUntil = now) else state
        val limit = writeInterval(peers) * 2 + MAX_WRITE_TIME
        val isBehind = now - current.recordedUntil > limit
        val versions = state.services.filterValues { isBehind && it.isMixed(now) }
            .mapNotNull { (name, known) -> known.unrecordedVersion(now)?.let { name to it } }
            .toMap().toPersistentMap()
        return when (versions) {
            state.beginOnlyAt -> Step(current)
            else -> current.copy(beginOnlyAt = versions)
                .withActions(OriginsAction.BeginOnlyAt(versions, current.recordedUntil))
        }
    }

    private fun writeInterval(peers: Int): Duration =
        maxOf(WRITE_INTERVAL, WRITE_INTERVAL_PER_PEER * peers)
}
