package org.bilberrycart.gateway.origins

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.gateway.model.StreamOrigin
import org.bilberrycart.gateway.records.RecordReply
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions

/**
 * Knows at which software version each stream began, so that any node can go on with it.
 *
 * With one version of a service there is nothing to know. While several serve, and for as long as
 * callers may resume streams after that, each node records its streams in the store, well before
 * their first events; streams that were sent before are recorded as soon as a second version is
 * listed. A stream that no record names therefore began at the version that was alone before,
 * if that was not too long ago.
 *
 * A node that was cut off from the others, or stood still, may not know of a second version. It
 * reads the records before it takes the version that it lists for the only one.
 */
public class OriginsFilter : Filter<OriginsState, OriginsEvent, OriginsAction> {
    override fun step(
        state: OriginsState,
        event: OriginsEvent,
        now: Duration,
    ): Step<OriginsState, OriginsAction> = when (event) {
        OriginsEvent.Start -> read(state, now)
        is OriginsEvent.Sent -> Step(sent(state, event, now))
        is OriginsEvent.Sought -> sought(state, event, now)
        is OriginsEvent.VersionsListed -> changeServices(state, now) { listed(it, event, now) }
        is OriginsEvent.ReadReplied -> readReplied(state, event, now)
        is OriginsEvent.WriteReplied -> Step(OriginWrites.replied(state, event, now))
        is OriginsEvent.Tick -> tick(state, event, now)
    }

    private fun sent(state: OriginsState, event: OriginsEvent.Sent, now: Duration): OriginsState {
        val version = event.softwareVersion ?: return state
        if (event.requestId.length > MAX_ID_LENGTH) return state
        val segment = state.sent[event.requestId]?.segment ?: OriginRecords.segmentAt(now)
        val stream = SentStream(event.service, version, now, segment)
        val isMixed = state.services[event.service]?.isMixed(now) == true
        return state.copy(
            sent = state.sent.put(event.requestId, stream),
            unwritten = if (isMixed) state.unwritten.add(segment) else state.unwritten,
        )
    }

    private fun listed(
        state: OriginsState,
        event: OriginsEvent.VersionsListed,
        now: Duration,
    ): OriginsState {
        val services = (state.services.keys + event.versions.keys).associateWith { name ->
            val known = state.services[name] ?: ServiceVersions()
            known.listing(event.versions[name] ?: persistentSetOf(), now)
        }
        return state.copy(services = services.toPersistentMap())
    }

    /** Changes the services of [state]; once one has several versions, its streams are recorded. */
    private fun changeServices(
        state: OriginsState,
        now: Duration,
        change: (OriginsState) -> OriginsState,
    ): Step<OriginsState, OriginsAction> {
        val next = change(state)
        val begun = next.services.filter { (name, versions) ->
            versions.isMixed(now) && state.services[name]?.isMixed(now) != true
        }.keys
        val segments = next.sent.values.filter { it.service in begun }.map { it.segment }
        val marked = next.copy(
            unwritten = next.unwritten.addAll(segments),
            hasNewVersions = next.hasNewVersions || begun.isNotEmpty(),
        )
        val isRecording = marked.isRecording(now)
        return when (isRecording) {
            state.wasRecording -> Step(marked)
            else -> marked.copy(wasRecording = isRecording)
                .withActions(OriginsAction.RecordingChanged(isRecording))
        }
    }

    private fun sought(
        state: OriginsState,
        event: OriginsEvent.Sought,
        now: Duration,
    ): Step<OriginsState, OriginsAction> {
        val seeker = Seeker(event.call, event.requestId, event.service, since = now)
        val origin = knownOrigin(state, seeker, now)
        return when {
            origin != null -> state.withActions(OriginsAction.Found(seeker.call, origin))
            else -> read(state.copy(seekers = state.seekers.add(seeker)), now)
        }
    }

    /** Returns where the stream of [seeker] began, if that is known without a read. */
    private fun knownOrigin(state: OriginsState, seeker: Seeker, now: Duration): StreamOrigin? {
        if (!state.hasRead) return null
        val versions = state.services[seeker.service] ?: return StreamOrigin.BegunAt(null)
        val version = state.sent[seeker.requestId]?.softwareVersion
            ?: state.recorded[seeker.requestId]
        return when {
            version != null -> StreamOrigin.BegunAt(version)
            versions.isMixed(now) -> null
            !seeker.isRead && !state.isInStep(now) -> null
            else -> StreamOrigin.BegunAt(versions.listed.singleOrNull() ?: versions.alone)
        }
    }

    private fun read(state: OriginsState, now: Duration): Step<OriginsState, OriginsAction> {
        if (state.reading != null) return Step(state)
        return page(
            state.copy(
                readAt = now,
                recorded = persistentMapOf(),
                seekers = state.seekers.map { it.copy(isRead = true) }.toPersistentList(),
            ),
            from = null,
        )
    }

    private fun page(state: OriginsState, from: String?): Step<OriginsState, OriginsAction> {
        val call = state.lastCall + 1
        return state.copy(lastCall = call, reading = call)
            .withActions(OriginsAction.Read(call, from))
    }

    private fun readReplied(
        state: OriginsState,
        event: OriginsEvent.ReadReplied,
        now: Duration,
    ): Step<OriginsState, OriginsAction> {
        if (event.call != state.reading) return Step(state)
        val free = state.copy(reading = null)
        return when (val reply = event.reply) {
            is RecordReply.Failed, is RecordReply.Written -> Step(free)
            is RecordReply.Page -> changeServices(free, now) {
                OriginRecords.withPage(it, reply, now)
            }.then { next ->
                when (reply.next) {
                    null -> answer(next.copy(hasRead = true), now)
                    else -> page(next, reply.next)
                }
            }
        }
    }

    /** Answers those who wait, of whose streams the records say all that there is to know. */
    private fun answer(state: OriginsState, now: Duration): Step<OriginsState, OriginsAction> {
        val (known, others) = state.seekers.partition { knownOrigin(state, it, now) != null }
        val (missing, waiting) = others.partition { it.isRead }
        val found = known.map { OriginsAction.Found(it.call, knownOrigin(state, it, now)) }
        val inferred = missing.map {
            val version = state.services[it.service]?.unrecordedVersion(now)
            OriginsAction.Found(it.call, version?.let(StreamOrigin::BegunAt))
        }
        val next = state.copy(seekers = waiting.toPersistentList())
        return Step<OriginsState, OriginsAction>(next, (found + inferred).toPersistentList())
            .then { if (waiting.isEmpty()) Step(it) else read(it, now) }
    }

    private fun tick(
        state: OriginsState,
        event: OriginsEvent.Tick,
        now: Duration,
    ): Step<OriginsState, OriginsAction> = changeServices(ticked(state, event, now), now) {
        val services = it.services.mapValues { (_, versions) -> versions.at(now) }
        OriginRecords.withoutOld(it.copy(services = services.toPersistentMap()), now)
    }.then { refuseLate(it, now) }
        .then { readAgain(it, now) }
        .then { OriginWrites.writeIfDue(it, event.peers, now) }
        .then { OriginWrites.limitVersions(it, event.peers, now) }

    private fun ticked(
        state: OriginsState,
        event: OriginsEvent.Tick,
        now: Duration,
    ): OriginsState {
        val wasInStep = event.isInStep && state.copy(outOfStepAt = null).isInStep(now)
        return state.copy(
            tickedAt = now,
            outOfStepAt = if (wasInStep) state.outOfStepAt else now,
        )
    }

    /** Answers those who have waited too long for the store. */
    private fun refuseLate(state: OriginsState, now: Duration): Step<OriginsState, OriginsAction> {
        val (late, waiting) = state.seekers.partition { now - it.since >= MAX_WAIT }
        if (late.isEmpty()) return Step(state)
        return Step(
            state.copy(seekers = waiting.toPersistentList()),
            late.map { OriginsAction.Found(it.call, origin = null) }.toPersistentList(),
        )
    }

    private fun readAgain(state: OriginsState, now: Duration): Step<OriginsState, OriginsAction> {
        val isNeeded = !state.hasRead || state.seekers.isNotEmpty()
        val interval = if (state.reading == null) READ_INTERVAL else OriginWrites.MAX_CALL_TIME
        val isDue = now - state.readAt >= interval
        return if (isNeeded && isDue) read(state.copy(reading = null), now) else Step(state)
    }

    private companion object {
        const val MAX_ID_LENGTH = 64

        /** How long a caller's stream may wait for the store. */
        val MAX_WAIT = 2.seconds
        val READ_INTERVAL = 200.milliseconds
    }
}
