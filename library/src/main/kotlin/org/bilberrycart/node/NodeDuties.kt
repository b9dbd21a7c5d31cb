package org.bilberrycart.node

import java.util.UUID
import org.bilberrycart.admission.AdmissionFilter
import org.bilberrycart.admission.AdmissionState
import org.bilberrycart.dispatch.DispatchAction
import org.bilberrycart.dispatch.DispatchState
import org.bilberrycart.health.HealthFilter
import org.bilberrycart.health.HealthState
import org.bilberrycart.idempotency.IdempotencyFilter
import org.bilberrycart.idempotency.IdempotencyState
import org.bilberrycart.journal.JournalState
import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MembershipFilter
import org.bilberrycart.membership.MembershipState
import org.bilberrycart.news.GossipFilter
import org.bilberrycart.news.GossipState
import org.bilberrycart.peer.PeerEvent
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Duty
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.pipeline.Shards
import org.bilberrycart.pipeline.Sink
import org.bilberrycart.pipeline.withActions
import org.bilberrycart.release.ReleaseFilter
import org.bilberrycart.release.ReleaseSettings
import org.bilberrycart.release.ReleaseState
import org.bilberrycart.replication.ReplicationFilter
import org.bilberrycart.replication.ReplicationState
import org.bilberrycart.routing.RoutingFilter
import org.bilberrycart.routing.RoutingState
import org.bilberrycart.settings.NodeSettings
import org.bilberrycart.suspect.SuspectFilter
import org.bilberrycart.suspect.SuspectState
import org.bilberrycart.takeover.TakeoverFilter
import org.bilberrycart.takeover.TakeoverState

/** The duties of the pipeline, each with its own thread, in the order that a request follows. */
internal class NodeDuties(
    settings: NodeSettings,
    releaseSettings: ReleaseSettings,
    rings: NodeRings,
    forwardSinks: ForwardSinks,
    returnSinks: ReturnSinks,
    peers: PeerSinks,
    self: Member,
    upstreams: Sink<DispatchAction>,
    private val clock: Clock,
    private val observer: NodeObserver,
    filters: PipelineFilters,
    seed: Long,
    startedMillis: Long,
) {
    val admission = duty(
        name = "admission",
        ring = rings.admission,
        initial = AdmissionState(),
        filter = AdmissionFilter(),
        sink = forwardSinks::admission,
    )
    val idempotency = duty(
        name = "idempotency",
        ring = rings.idempotency,
        initial = IdempotencyState(
            instance = "${settings.vm}-${UUID.randomUUID()}",
            seed = seed,
        ),
        filter = IdempotencyFilter(),
        sink = forwardSinks::idempotency,
    )
    val suspect = duty(
        name = "suspect",
        ring = rings.suspect,
        initial = SuspectState(),
        filter = SuspectFilter(),
        sink = forwardSinks::suspect,
    )
    val routing = duty(
        name = "routing",
        ring = rings.routing,
        initial = RoutingState(settings.dataCentre, seed = seed),
        filter = RoutingFilter(),
        sink = forwardSinks::routing,
    )
    val dispatch = duty(
        name = "dispatch",
        ring = rings.dispatch,
        initial = DispatchState(),
        filter = filters.dispatch,
        sink = upstreams,
    )
    val health = duty(
        name = "health",
        ring = rings.health,
        initial = HealthState(),
        filter = HealthFilter(),
        sink = forwardSinks::health,
    )
    val journal =
        shards("journal", rings.journal, JournalState(), filters.journal, returnSinks::journal)
    val replication = shards(
        name = "replication",
        shards = rings.replication,
        initial = ReplicationState(self),
        filter = ReplicationFilter(),
        sink = peers::replication,
    )
    val release = shards(
        name = "release",
        shards = rings.release,
        initial = ReleaseState(),
        filter = ReleaseFilter(releaseSettings),
        sink = returnSinks::release,
    )

    val takeover = duty(
        name = "takeover",
        ring = rings.takeover,
        initial = TakeoverState(self, nextClaim = startedMillis),
        filter = TakeoverFilter(),
        sink = peers::takeover,
    )
    val membership = duty(
        name = "membership",
        ring = rings.membership,
        initial = MembershipState(self, incarnation = startedMillis, seed = seed),
        filter = MembershipFilter(),
        sink = peers::membership,
    )
    val news = duty(
        name = "news",
        ring = rings.news,
        initial = GossipState(self, seed = seed),
        filter = GossipFilter(),
        sink = peers::news,
    )
    private val inbound = duty(
        name = "inbound",
        ring = rings.inbound,
        initial = Unit,
        filter = { state, event: PeerEvent, _ -> state.withActions(event) },
        sink = peers::inbound,
    )

    /** All duties, the shards of each one after the other. */
    val all: List<Duty<*, *, *>> = listOf(
        listOf(admission, idempotency, suspect, routing, dispatch),
        journal,
        replication,
        release,
        listOf(takeover, health, membership, news, inbound),
    ).flatten()

    private fun <S : Any, E : Any, A : Any> shards(
        name: String,
        shards: Shards<E>,
        initial: S,
        filter: Filter<S, E, A>,
        sink: Sink<A>,
    ): List<Duty<S, E, A>> = shards.rings.mapIndexed { index, ring ->
        duty("$name-$index", ring, initial, filter, sink)
    }

    private fun <S : Any, E : Any, A : Any> duty(
        name: String,
        ring: Ring<E>,
        initial: S,
        filter: Filter<S, E, A>,
        sink: Sink<A>,
    ): Duty<S, E, A> = Duty(
        name = name,
        ring = ring,
        initial = initial,
        filter = filter,
        clock = clock,
        sink = sink,
        onFailure = { _, cause -> observer.eventFailed(name, cause) },
    )
}
