package org.bilberrycart.gateway.crashes

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.bilberrycart.gateway.model.KnownCrashes
import org.bilberrycart.gateway.records.Record
import org.bilberrycart.gateway.records.RecordContent
import org.bilberrycart.gateway.records.RecordReply
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions

/**
 * Keeps what is known of crashing calls in the store, so that it outlives all nodes together.
 *
 * Nodes tell each other of crashes by gossip. Each process also writes a record of its own once a
 * call or a prompt part has crashed upstreams repeatedly. The records are read when a node starts,
 * and again and again while a node that may see crashes is not heard.
 */
public class CrashRecordsFilter : Filter<CrashRecordsState, CrashRecordsEvent, CrashRecordsAction> {
    override fun step(
        state: CrashRecordsState,
        event: CrashRecordsEvent,
        now: Duration,
    ): Step<CrashRecordsState, CrashRecordsAction> = when (event) {
        is CrashRecordsEvent.Tick ->
            readIfDue(ticked(state, event, now), now).then { writeIfDue(it, event.known, now) }
        is CrashRecordsEvent.ReadReplied -> readReplied(state, event, now)
        is CrashRecordsEvent.WriteReplied -> Step(writeReplied(state, event, now))
    }

    private fun ticked(
        state: CrashRecordsState,
        event: CrashRecordsEvent.Tick,
        now: Duration,
    ): CrashRecordsState = state.copy(
        missingSince = if (event.isPeerMissing) state.missingSince ?: now else null,
    )

    private fun readIfDue(
        state: CrashRecordsState,
        now: Duration,
    ): Step<CrashRecordsState, CrashRecordsAction> {
        val interval = when {
            state.reading != null -> MAX_CALL_TIME
            !state.hasRead -> FIRST_READ_INTERVAL
            state.missingSince != null -> missingPeerInterval(now - state.missingSince)
            state.found.isNotEmpty() -> EXPIRY_INTERVAL
            else -> Duration.INFINITE
        }
        val isDue = state.readAt == null || now - state.readAt >= interval
        if (!isDue) return Step(state)
        return read(state.copy(readAt = now, page = persistentListOf()), from = null)
    }

    /** Returns how often to read; a node that is missing for long has probably left for good. */
    private fun missingPeerInterval(missing: Duration): Duration =
        if (missing < LONG_MISSING) MISSING_PEER_INTERVAL else LONG_MISSING_INTERVAL

    private fun read(
        state: CrashRecordsState,
        from: String?,
    ): Step<CrashRecordsState, CrashRecordsAction> {
        val call = state.lastCall + 1
        return state.copy(lastCall = call, reading = call)
            .withActions(CrashRecordsAction.Read(call, from))
    }

    private fun readReplied(
        state: CrashRecordsState,
        event: CrashRecordsEvent.ReadReplied,
        now: Duration,
    ): Step<CrashRecordsState, CrashRecordsAction> {
        if (event.call != state.reading) return Step(state)
        val free = state.copy(reading = null)
        return when (val reply = event.reply) {
            is RecordReply.Failed, is RecordReply.Written -> Step(free)
            is RecordReply.Page -> {
                val next = free.copy(page = free.page.addAll(reply.records))
                if (reply.next == null) found(next, reply, now) else read(next, reply.next)
            }
        }
    }

    /** Passes on what other processes recorded, as it reads at the time of the last page. */
    private fun found(
        state: CrashRecordsState,
        last: RecordReply.Page,
        now: Duration,
    ): Step<CrashRecordsState, CrashRecordsAction> {
        val others = state.page.filterNot { it.key == state.process }
        val (fresh, expired) = others.partition { age(it, last.storeMillis) < RETENTION }
        val known = fresh.mapNotNull { record ->
            val millis = age(record, last.storeMillis).inWholeMilliseconds.toInt()
            record.content?.crashes?.let { it.copy(parts = it.parts.agedBy(millis)) }
        }.toPersistentList()
        val next = state.copy(
            hasRead = true,
            page = persistentListOf(),
            found = known,
            expiredKeys = expired.map { it.key }.toPersistentSet(),
            storeClockOffset = last.storeMillis - now.inWholeMilliseconds,
        )
        val isUnchanged = known.isEmpty() && state.found.isEmpty()
        return if (isUnchanged) Step(next) else next.withActions(CrashRecordsAction.Found(known))
    }

    /** Returns the age of [record]; one that can't be read is as old as can be. */
    private fun age(record: Record, storeMillis: Long): Duration = when (val it = record.content) {
        null -> Duration.INFINITE
        else -> maxOf(storeMillis - it.storeMillis, 0).milliseconds
    }

    private fun writeIfDue(
        state: CrashRecordsState,
        known: KnownCrashes,
        now: Duration,
    ): Step<CrashRecordsState, CrashRecordsAction> {
        val offset = state.storeClockOffset ?: return Step(state)
        val isKnown = known.hasSameSubjects(state.written)
        val interval = if (state.writing == null) WRITE_INTERVAL else MAX_CALL_TIME
        val isDue = state.writtenAt == null || now - state.writtenAt >= interval
        if (isKnown || !isDue) return Step(state)
        val call = state.lastCall + 1
        val content =
            RecordContent(storeMillis = now.inWholeMilliseconds + offset, crashes = known)
        val removals = state.expiredKeys.take(MAX_REMOVALS)
        return state.copy(
            lastCall = call,
            writing = CrashRecordsState.PendingWrite(call, known),
            writtenAt = now,
            expiredKeys = state.expiredKeys.removeAll(removals),
        ).withActions(CrashRecordsAction.Write(call, Record(state.process, content), removals))
    }

    private fun writeReplied(
        state: CrashRecordsState,
        event: CrashRecordsEvent.WriteReplied,
        now: Duration,
    ): CrashRecordsState {
        val pending = state.writing?.takeIf { it.call == event.call } ?: return state
        val free = state.copy(writing = null)
        return when (val reply = event.reply) {
            is RecordReply.Failed, is RecordReply.Page -> free
            is RecordReply.Written -> free.copy(
                written = pending.known,
                storeClockOffset = reply.storeMillis - now.inWholeMilliseconds,
            )
        }
    }

    private companion object {
        /** How long a record counts; as long as a node itself remembers crashes. */
        val RETENTION = 10.minutes
        val MAX_CALL_TIME = 1.seconds
        val FIRST_READ_INTERVAL = 200.milliseconds
        val MISSING_PEER_INTERVAL = 1500.milliseconds
        val LONG_MISSING = 1.minutes
        val LONG_MISSING_INTERVAL = 20.seconds

        /** How often records that have been found are checked for their age. */
        val EXPIRY_INTERVAL = 1.minutes
        val WRITE_INTERVAL = 200.milliseconds
        const val MAX_REMOVALS = 40
    }
}
