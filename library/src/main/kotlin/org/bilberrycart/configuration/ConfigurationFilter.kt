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
 * Only a higher version is ever adopted, so that neither an outdated reply nor a node that resumes
 * after a pause restores an old one. The store is polled a few times a minute. When a peer
 * announces a higher version, the store is read at once; if the store fails, the peer is asked for
 * the document.
 */
public class ConfigurationFilter :
    Filter<ConfigurationState, ConfigurationEvent, ConfigurationAction> {
    override fun step(
        state: ConfigurationState,
        event: ConfigurationEvent,
        now: Duration,
    ): ConfigurationStep = when (event) {
        is ConfigurationEvent.HeadRead -> state.withContact(now).headRead(event.version, now)
        is ConfigurationEvent.DocumentRead ->
            state.withContact(now).documentRead(event.document, now)
        ConfigurationEvent.StoreFailed -> state.storeFailed(now)
        is ConfigurationEvent.PeerHasVersion ->
            state.withContact(now).peerHas(event.peer, event.version, now)
        is ConfigurationEvent.VersionAccepted ->
            state.readNewVersion(event.version, from = null, now)
        is ConfigurationEvent.PeerDocument -> state.withContact(now).adopt(event.document)
        is ConfigurationEvent.PeerRequestedDocument ->
            state.withContact(now).sendDocument(event.peer)
        is ConfigurationEvent.FleetChanged ->
            Step(state.copy(timing = ConfigurationTiming.forFleetOf(event.nodes)))
        is ConfigurationEvent.ReportCompleted -> Step(state.reportCompleted(event, now))
        ConfigurationEvent.Tick -> state.readIfDue(now).then { it.reportIfDue(now) }
    }.then { it.checkReadiness(now) }

    private fun ConfigurationState.withContact(now: Duration) = copy(lastContactAt = now)

    private fun ConfigurationState.headRead(head: Long, now: Duration): ConfigurationStep {
        val noted = noteVersion(head, from = null, now)
        return when {
            head > version -> noted.withActions(ConfigurationAction.ReadDocument(head))
            else -> Step(noted.scheduleNextRead(now))
        }
    }

    private fun ConfigurationState.documentRead(
        document: ConfigurationDocument?,
        now: Duration,
    ): ConfigurationStep = when (document) {
        null -> Step(scheduleNextRead(now))
        else -> adopt(document).then { Step(it.scheduleNextRead(now)) }
    }

    private fun ConfigurationState.adopt(document: ConfigurationDocument): ConfigurationStep {
        if (document.version <= version) return Step(this)
        val knownNow = maxOf(knownVersion, document.version)
        val adopted = copy(
            inForce = document,
            knownVersion = knownNow,
            behindSince = if (knownNow > document.version) behindSince else null,
        )
        return adopted.withActions(
            ConfigurationAction.Adopt(document),
            ConfigurationAction.AnnounceVersion(document.version),
        )
    }

    private fun ConfigurationState.storeFailed(now: Duration): ConfigurationStep {
        val peer = knownFrom
        val requests = when {
            knownVersion > version && peer != null ->
                persistentListOf<ConfigurationAction>(ConfigurationAction.RequestDocument(peer))
            else -> persistentListOf()
        }
        return Step(scheduleNextRead(now, maxDelay = timing.retryDelay), requests)
    }

    private fun ConfigurationState.peerHas(
        peer: VmId,
        peerVersion: Long,
        now: Duration,
    ): ConfigurationStep = when {
        peerVersion > knownVersion -> readNewVersion(peerVersion, peer, now)
        peerVersion < version -> withActions(ConfigurationAction.AnnounceVersion(version))
        peerVersion == knownVersion -> Step(copy(knownFrom = peer))
        else -> Step(this)
    }

    /** Reads the store at once if [head] is higher than every version known before. */
    private fun ConfigurationState.readNewVersion(
        head: Long,
        from: VmId?,
        now: Duration,
    ): ConfigurationStep = when {
        head <= knownVersion -> Step(this)
        else -> noteVersion(head, from, now).copy(nextReadAt = now).readIfDue(now)
    }

    private fun ConfigurationState.noteVersion(head: Long, from: VmId?, now: Duration) = when {
        head <= knownVersion -> this
        else -> copy(knownVersion = head, knownFrom = from, behindSince = behindSince ?: now)
    }

    private fun ConfigurationState.sendDocument(peer: VmId): ConfigurationStep = when (inForce) {
        null -> Step(this)
        else -> withActions(ConfigurationAction.SendDocument(peer, inForce))
    }

    private fun ConfigurationState.readIfDue(now: Duration): ConfigurationStep = when {
        isReading || now < nextReadAt -> Step(this)
        else -> copy(isReading = true, reads = reads + 1).withActions(ConfigurationAction.ReadHead)
    }

    private fun ConfigurationState.reportIfDue(now: Duration): ConfigurationStep = when {
        inForce == null || now < nextReportAt && reportedVersion == version -> Step(this)
        now < nextReportAt && reportedVersion == NOT_STORED -> Step(this)
        else -> copy(reportedVersion = version, nextReportAt = now + timing.reportInterval)
            .withActions(ConfigurationAction.Report(version))
    }

    /** Schedules a report again, after a short delay, if it was not stored. */
    private fun ConfigurationState.reportCompleted(
        event: ConfigurationEvent.ReportCompleted,
        now: Duration,
    ): ConfigurationState = when {
        event.isStored || event.version != reportedVersion -> this
        else -> copy(
            reportedVersion = NOT_STORED,
            nextReportAt = now + timing.retryDelay * (1 + jitter()),
        )
    }

    private fun ConfigurationState.scheduleNextRead(
        now: Duration,
        maxDelay: Duration =
            if (knownVersion > version || inForce == null) timing.retryDelay else timing.pollDelay,
    ): ConfigurationState =
        copy(isReading = false, nextReadAt = now + maxDelay * (1 + jitter()) / 2.0)

    private fun ConfigurationState.checkReadiness(now: Duration): ConfigurationStep {
        val isIsolated = now - lastContactAt >= timing.isolationTimeout
        val isBehind = behindSince != null && now - behindSince >= timing.isolationTimeout
        val next = inForce != null && !isIsolated && !isBehind
        return when (next) {
            isReady -> Step(this)
            else -> copy(isReady = next)
                .withActions(ConfigurationAction.ReadinessChanged(next))
        }
    }

    private companion object {
        /** The value of [ConfigurationState.reportedVersion] after a report was not stored. */
        const val NOT_STORED = -1L
    }
}
