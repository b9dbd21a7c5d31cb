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
 * Each control ring keeps a reserve of [CONTROL_PER_REQUEST] events for each request in flight, the
 * most that can be outstanding, so that a duty never waits for a ring in a cycle. Bulk events (new
 * requests, tokens) use the rest: new requests are refused at the door, tokens hold the connection
 * to their engine, and messages of peers hold the inbound duty, whose full ring closes links.
 */
internal class NodeRings(limits: LimitSettings) {
    private val control = limits.generations * CONTROL_PER_REQUEST

    val admission = Ring<AdmissionEvent>("admission", control + ARRIVALS, reserve = control)
    val idempotency = Ring<IdempotencyEvent>("idempotency", control)
    val suspect = Ring<SuspectEvent>("suspect", control)
    val routing = Ring<RoutingEvent>("routing", control + REPORTS, reserve = control)
    val dispatch = Ring<DispatchEvent>("dispatch", control)
    val journal =
        Shards<JournalEvent>("journal", limits.shards, control + TOKENS, reserve = control)
    val replication =
        Shards<ReplicationEvent>("replication", limits.shards, control + TOKENS, reserve = control)
    val release =
        Shards<ReleaseEvent>("release", limits.shards, control + TOKENS, reserve = control)
    val takeover = Ring<TakeoverEvent>("takeover", control + REPORTS, reserve = control)
    val health = Ring<HealthEvent>("health", REPORTS)
    val membership = Ring<MembershipEvent>("membership", REPORTS)
    val news = Ring<GossipEvent>("news", REPORTS)
    val inbound = Ring<PeerEvent>("inbound", TOKENS)

    private val all: List<Ring<*>> = listOf(admission, idempotency, suspect, routing, dispatch) +
        journal.rings + replication.rings + release.rings +
        listOf(takeover, health, membership, news, inbound)

    /** Tells routing and the suspect filter that [attempt] on [upstream] is over. */
    fun attemptEnded(attempt: AttemptId, upstream: UpstreamId, outcome: AttemptOutcome) {
        suspect.put(SuspectEvent.AttemptEnded(attempt, upstream, outcome))
        routing.put(RoutingEvent.AttemptEnded(attempt, upstream, outcome))
    }

    fun stats(): List<RingStats> = all.map { it.stats() }

    fun close(): Unit = all.forEach { it.close() }

    private companion object {
        const val CONTROL_PER_REQUEST = 8
        const val ARRIVALS = 1_024
        const val REPORTS = 1_024
        const val TOKENS = 8_192
    }
}
