package org.bilberrycart.configuration

import kotlin.time.Duration
import kotlinx.collections.immutable.persistentListOf
import org.bilberrycart.model.VmId
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.then
import org.bilberrycart.pipeline.withActions

private typealias ConfigurationStep = Step<ConfigurationState, ConfigurationAction>

/**
 * Decides which configuration is in force on this node.
 *
 * Only a higher version is ever adopted, so that neither an answer from the past nor a paused node
 * that wakes brings an old one back. The store is polled a few times a minute; an announcement of a
 * peer is followed at once, and a peer gives the document when the store does not.
 */
public class ConfigurationFilter :
    Filter<ConfigurationState, ConfigurationEvent, ConfigurationAction> {
    override fun step(
        state: ConfigurationState,
        event: ConfigurationEvent,
        now: Duration,
    ): ConfigurationStep = when (event) {
        is ConfigurationEvent.HeadRead -> state.contact(now).headRead(event.version, now)
        is ConfigurationEvent.DocumentRead -> state.contact(now).documentRead(event.document, now)
        ConfigurationEvent.StoreFailed -> state.storeFailed(now)
        is ConfigurationEvent.PeerHasVersion ->
            state.contact(now).peerHas(event.peer, event.version, now)
        is ConfigurationEvent.VersionAccepted -> state.follow(event.version, from = null, now)
        is ConfigurationEvent.PeerDocument -> state.contact(now).adopt(event.document)
        is ConfigurationEvent.PeerAsked -> state.contact(now).answer(event.peer)
        is ConfigurationEvent.FleetChanged ->
            Step(state.copy(timing = ConfigurationTiming.ofFleet(event.nodes)))
        is ConfigurationEvent.Reported -> Step(state.reported(event, now))
        ConfigurationEvent.Tick -> state.readIfDue(now).then { it.reportIfDue(now) }
    }.then { it.checkReadiness(now) }

    private fun ConfigurationState.contact(now: Duration) = copy(contactAt = now)

    private fun ConfigurationState.headRead(head: Long, now: Duration): ConfigurationStep {
        val known = hear(head, from = null, now)
        return when {
            head > version -> known.withActions(ConfigurationAction.ReadDocument(head))
            else -> Step(known.readDone(now))
        }
    }

    private fun ConfigurationState.documentRead(
        document: ConfigurationDocument?,
        now: Duration,
    ): ConfigurationStep = when (document) {
        null -> Step(readDone(now))
        else -> adopt(document).then { Step(it.readDone(now)) }
    }

    private fun ConfigurationState.adopt(document: ConfigurationDocument): ConfigurationStep {
        if (document.version <= version) return Step(this)
        val heardNow = maxOf(heard, document.version)
        val adopted = copy(
            inForce = document,
            heard = heardNow,
            behindSince = if (heardNow > document.version) behindSince else null,
        )
        return adopted.withActions(
            ConfigurationAction.Adopt(document),
            ConfigurationAction.AnnounceVersion(document.version),
        )
    }

    private fun ConfigurationState.storeFailed(now: Duration): ConfigurationStep {
        val peer = heardFrom
        val asked = when {
            heard > version && peer != null ->
                persistentListOf<ConfigurationAction>(ConfigurationAction.AskPeer(peer))
            else -> persistentListOf()
        }
        return Step(readDone(now, longest = timing.chase), asked)
    }

    private fun ConfigurationState.peerHas(
        peer: VmId,
        peerVersion: Long,
        now: Duration,
    ): ConfigurationStep = when {
        peerVersion > heard -> follow(peerVersion, peer, now)
        peerVersion < version -> withActions(ConfigurationAction.AnnounceVersion(version))
        peerVersion == heard -> Step(copy(heardFrom = peer))
        else -> Step(this)
    }

    /** Reads the store at once because [head] is newer than all that was heard before. */
    private fun ConfigurationState.follow(
        head: Long,
        from: VmId?,
        now: Duration,
    ): ConfigurationStep = when {
        head <= heard -> Step(this)
        else -> hear(head, from, now).copy(nextReadAt = now).readIfDue(now)
    }

    private fun ConfigurationState.hear(head: Long, from: VmId?, now: Duration) = when {
        head <= heard -> this
        else -> copy(heard = head, heardFrom = from, behindSince = behindSince ?: now)
    }

    private fun ConfigurationState.answer(peer: VmId): ConfigurationStep = when (inForce) {
        null -> Step(this)
        else -> withActions(ConfigurationAction.SendDocument(peer, inForce))
    }

    private fun ConfigurationState.readIfDue(now: Duration): ConfigurationStep = when {
        isReading || now < nextReadAt -> Step(this)
        else -> copy(isReading = true, reads = reads + 1).withActions(ConfigurationAction.ReadHead)
    }

    private fun ConfigurationState.reportIfDue(now: Duration): ConfigurationStep = when {
        inForce == null || now < nextReportAt && reported == version -> Step(this)
        now < nextReportAt && reported == UNSTORED -> Step(this)
        else -> copy(reported = version, nextReportAt = now + timing.report)
            .withActions(ConfigurationAction.Report(version))
    }

    /** A report that was not stored is made again after a short wait. */
    private fun ConfigurationState.reported(
        event: ConfigurationEvent.Reported,
        now: Duration,
    ): ConfigurationState = when {
        event.isDone || event.version != reported -> this
        else -> copy(reported = UNSTORED, nextReportAt = now + timing.chase * (1 + spread()))
    }

    private fun ConfigurationState.readDone(
        now: Duration,
        longest: Duration = if (heard > version || inForce == null) timing.chase else timing.poll,
    ): ConfigurationState =
        copy(isReading = false, nextReadAt = now + longest * (1 + spread()) / 2.0)

    private fun ConfigurationState.checkReadiness(now: Duration): ConfigurationStep {
        val isAlone = now - contactAt >= timing.isolation
        val isBehind = behindSince != null && now - behindSince >= timing.isolation
        val next = inForce != null && !isAlone && !isBehind
        return when (next) {
            isReady -> Step(this)
            else -> copy(isReady = next)
                .withActions(ConfigurationAction.ReadinessChanged(next))
        }
    }

    private companion object {
        const val UNSTORED = -1L
    }
}
