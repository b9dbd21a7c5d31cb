package org.bilberrycart.node

import org.bilberrycart.admission.AdmissionEvent
import org.bilberrycart.dispatch.DispatchEvent
import org.bilberrycart.health.HealthEvent
import org.bilberrycart.idempotency.IdempotencyEvent
import org.bilberrycart.journal.JournalEvent
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.pipeline.RingStats
import org.bilberrycart.pipeline.Shards
import org.bilberrycart.platform.PlatformEvent
import org.bilberrycart.release.ReleaseEvent
import org.bilberrycart.replication.ReplicationEvent
import org.bilberrycart.routing.RoutingEvent
import org.bilberrycart.settings.LimitSettings

/**
 * The rings that join the filters of one node.
 *
 * Each control ring keeps a reserve of [CONTROL_PER_REQUEST] events for each request in flight, the
 * most that can be outstanding, so that a duty never waits for a ring in a cycle. Bulk events (new
 * requests, tokens) use the rest: new requests are refused at the door, tokens hold the connection
 * to their engine.
 */
internal class NodeRings(limits: LimitSettings) {
    private val control = limits.generations * CONTROL_PER_REQUEST

    val admission = Ring<AdmissionEvent>("admission", control + ARRIVALS, reserve = control)
    val routing = Ring<RoutingEvent>("routing", control + REPORTS, reserve = control)
    val idempotency = Ring<IdempotencyEvent>("idempotency", control)
    val platform = Ring<PlatformEvent>("platform", control + REPORTS, reserve = control)
    val health = Ring<HealthEvent>("health", REPORTS)
    val dispatch = Ring<DispatchEvent>("dispatch", control)
    val journal =
        Shards<JournalEvent>("journal", limits.shards, control + TOKENS, reserve = control)
    val replication =
        Shards<ReplicationEvent>("replication", limits.shards, control + TOKENS, reserve = control)
    val release =
        Shards<ReleaseEvent>("release", limits.shards, control + TOKENS, reserve = control)

    private val all: List<Ring<*>> = listOf(admission, idempotency, routing, dispatch) +
        listOf(platform, health) + journal.rings + replication.rings + release.rings

    fun stats(): List<RingStats> = all.map { it.stats() }

    fun close(): Unit = all.forEach { it.close() }

    private companion object {
        const val CONTROL_PER_REQUEST = 8
        const val ARRIVALS = 1_024
        const val REPORTS = 1_024
        const val TOKENS = 8_192
    }
}
