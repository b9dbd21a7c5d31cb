package org.bilberrycart.gateway.origins

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.bilberrycart.gateway.model.ServiceName
import org.bilberrycart.gateway.records.Record
import org.bilberrycart.gateway.records.RecordContent
import org.bilberrycart.gateway.records.RecordReply

/**
 * Builds and reads the records of where streams began.
 *
 * Each process writes a record for each segment of some seconds, with the streams that it sent in
 * that time, and one for each service of which it knows several software versions.
 */
internal object OriginRecords {
    private val SEGMENT = 5.seconds
    private const val SERVICE = "service"
    private const val STREAMS = "streams"

    /** The parts of a key: what it holds, node, start of the process, service or segment. */
    private const val KEY_PARTS = 4
    private const val MAX_STREAMS = 1_500
    private const val MAX_REMOVALS = 40

    /** Returns the segment of the time [now]. */
    fun segmentAt(now: Duration): Long = now.inWholeMilliseconds / SEGMENT.inWholeMilliseconds

    /** Returns what [state] has to write and to remove at [now]. */
    fun write(state: OriginsState, now: Duration, storeMillis: Long): OriginsAction.Write {
        val streams = state.unwritten.map { segment -> streamsOf(state, segment, storeMillis) }
        val services = state.services.filterValues { it.isMixed(now) }.map { (name, versions) ->
            val mixedAt = versions.mixedAt ?: now
            val content = RecordContent(
                storeMillis = storeMillis - (now - mixedAt).inWholeMilliseconds,
                versionBefore = versions.before,
                mixedMillis = (mixedAt - (versions.mixedSince ?: mixedAt)).inWholeMilliseconds,
            )
            Record("$SERVICE/${state.process}/${name.value}", content)
        }
        val expired = state.written.filter { it < oldestSegment(now) }.map { keyOf(state, it) }
        val removals = (expired + state.staleKeys).take(MAX_REMOVALS)
        return OriginsAction.Write(state.lastCall, streams + services, removals)
    }

    private fun streamsOf(state: OriginsState, segment: Long, storeMillis: Long): Record {
        val streams = state.sent.filterValues { it.segment == segment }
            .mapValues { it.value.softwareVersion }
        val bounded = streams.entries.take(MAX_STREAMS).associate { it.toPair() }
        return Record(keyOf(state, segment), RecordContent(storeMillis, bounded))
    }

    private fun keyOf(state: OriginsState, segment: Long): String =
        "$STREAMS/${state.process}/$segment"

    /** Returns [state] without the streams that no caller resumes any more at [now]. */
    fun withoutOld(state: OriginsState, now: Duration): OriginsState {
        val oldest = oldestSegment(now)
        if (state.sent.values.none { it.segment < oldest }) return state
        return state.copy(
            sent = state.sent.filterValues { it.segment >= oldest }.toPersistentMap(),
            unwritten = state.unwritten.filter { it >= oldest }.toPersistentSet(),
        )
    }

    /** Returns the first segment whose streams callers may still resume at [now]. */
    private fun oldestSegment(now: Duration): Long = segmentAt(now - ServiceVersions.MEMORY)

    /** Returns [state] with what [page] says, which was read at [now]. */
    fun withPage(state: OriginsState, page: RecordReply.Page, now: Duration): OriginsState {
        val timed = state.copy(
            storeClockOffset = page.storeMillis - now.inWholeMilliseconds,
        )
        return page.records.fold(timed) { next, record -> withRecord(next, record, page) }
    }

    private fun withRecord(
        state: OriginsState,
        record: Record,
        page: RecordReply.Page,
    ): OriginsState {
        val content = record.content
        val age = content?.let { (page.storeMillis - it.storeMillis).milliseconds }
        return when {
            content == null || age == null || age >= ServiceVersions.MEMORY * 2 -> state.copy(
                staleKeys = state.staleKeys.add(record.key),
            )
            record.key.startsWith("$SERVICE/") -> {
                val name = ServiceName(record.key.split('/', limit = KEY_PARTS).last())
                val recordedAt = state.localMillis(content.storeMillis).milliseconds
                val known = state.services[name] ?: ServiceVersions()
                val recordedSince = recordedAt - content.mixedMillis.milliseconds
                val versions =
                    known.recorded(content.versionBefore, recordedSince, recordedAt)
                state.copy(services = state.services.put(name, versions))
            }
            else -> state.copy(recorded = state.recorded.putAll(content.streams))
        }
    }

    /** Returns [state] after the write in progress succeeded at [now]. */
    fun withWritten(state: OriginsState, now: Duration, storeMillis: Long): OriginsState {
        val oldest = oldestSegment(now)
        return state.copy(
            writingCall = null,
            written = (state.written.addAll(state.writing)).filter { it >= oldest }
                .toPersistentSet(),
            writing = persistentSetOf(),
            recordedUntil = state.writtenAt,
            storeClockOffset = storeMillis - now.inWholeMilliseconds,
        )
    }
}
