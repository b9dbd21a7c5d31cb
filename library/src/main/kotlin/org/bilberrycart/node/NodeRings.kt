package org.bilberrycart.node

import org.bilberrycart.admission.AdmissionEvent
import org.bilberrycart.dispatch.DispatchEvent
import org.bilberrycart.health.HealthEvent
import org.bilberrycart.idempotency.IdempotencyEvent
import org.bilberrycart.journal.JournalEvent
import org.bilberrycart.membership.MembershipEvent
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.AttemptOutcome
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.news.GossipEvent
import org.bilberrycart.peer.PeerEvent
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.pipeline.RingStats
import org.bilberrycart.pipeline.Shards
import org.bilberrycart.release.ReleaseEvent
import org.bilberrycart.replication.ReplicationEvent
import org.bilberrycart.routing.RoutingEvent
import org.bilberrycart.settings.LimitSettings
import org.bilberrycart.suspect.SuspectEvent
import org.bilberrycart.takeover.TakeoverEvent

/**
 * The rings that join the filters of one node.
 *
 * Each ring for control events reserves space for [CONTROL_EVENTS_PER_REQUEST] events of each
 * request in flight. No request has more outstanding, so duties (the threads that run the filters)
 * never wait for each other's rings in a cycle. Bulk events (new requests, tokens) use the
 * remaining capacity. When it is used up, new requests are refused at admission, and tokens block
 * the connection to their upstream. Messages of peers block the inbound duty; when its own ring is
 * full, connections to peers are closed.
 */
internal class NodeRings(limits: LimitSettings) {
    private val controlReserve = limits.generations * CONTROL_EVENTS_PER_REQUEST

    val admission =
        Ring<AdmissionEvent>(
            "admission",
            controlReserve + ARRIVAL_CAPACITY,
            reserve = controlReserve,
        )
    val idempotency = Ring<IdempotencyEvent>("idempotency", controlReserve)
    val suspect = Ring<SuspectEvent>("suspect", controlReserve)
    val routing =
        Ring<RoutingEvent>("routing", controlReserve + REPORT_CAPACITY, reserve = controlReserve)
    val dispatch = Ring<DispatchEvent>("dispatch", controlReserve)
    val journal =
        Shards<JournalEvent>(
            "journal",
            limits.shards,
            controlReserve + TOKEN_CAPACITY,
            reserve = controlReserve,
        )
    val replication =
        Shards<ReplicationEvent>(
            "replication",
            limits.shards,
            controlReserve + TOKEN_CAPACITY,
            reserve = controlReserve,
        )
    val release =
        Shards<ReleaseEvent>(
            "release",
            limits.shards,
            controlReserve + TOKEN_CAPACITY,
            reserve = controlReserve,
        )
    val takeover =
        Ring<TakeoverEvent>("takeover", controlReserve + REPORT_CAPACITY, reserve = controlReserve)
    val health = Ring<HealthEvent>("health", REPORT_CAPACITY)
    val membership = Ring<MembershipEvent>("membership", REPORT_CAPACITY)
    val news = Ring<GossipEvent>("news", REPORT_CAPACITY)
    val inbound = Ring<PeerEvent>("inbound", TOKEN_CAPACITY)

    private val all: List<Ring<*>> = listOf(admission, idempotency, suspect, routing, dispatch) +
        journal.rings + replication.rings + release.rings +
        listOf(takeover, health, membership, news, inbound)

    /** Reports to routing and the suspect filter that [attempt] on [upstream] ended. */
    fun attemptEnded(attempt: AttemptId, upstream: UpstreamId, outcome: AttemptOutcome) {
        suspect.put(SuspectEvent.AttemptEnded(attempt, upstream, outcome))
        routing.put(RoutingEvent.AttemptEnded(attempt, upstream, outcome))
    }

    /** Returns the counters of all rings. */
    fun stats(): List<RingStats> = all.map { it.stats() }

    /** Closes all rings. */
    fun close(): Unit = all.forEach { it.close() }

    private companion object {
        const val CONTROL_EVENTS_PER_REQUEST = 8
        const val ARRIVAL_CAPACITY = 1_024
        const val REPORT_CAPACITY = 1_024
        const val TOKEN_CAPACITY = 8_192
    }
}
