package org.bilberrycart.node

import java.util.UUID
import org.bilberrycart.admission.AdmissionFilter
import org.bilberrycart.admission.AdmissionState
import org.bilberrycart.dispatch.DispatchAction
import org.bilberrycart.dispatch.DispatchFilter
import org.bilberrycart.dispatch.DispatchState
import org.bilberrycart.health.HealthFilter
import org.bilberrycart.health.HealthState
import org.bilberrycart.idempotency.IdempotencyFilter
import org.bilberrycart.idempotency.IdempotencyState
import org.bilberrycart.journal.JournalFilter
import org.bilberrycart.journal.JournalState
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Duty
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.pipeline.Shards
import org.bilberrycart.pipeline.Sink
import org.bilberrycart.platform.PlatformFilter
import org.bilberrycart.platform.PlatformSink
import org.bilberrycart.platform.PlatformState
import org.bilberrycart.platform.TableClient
import org.bilberrycart.release.ReleaseFilter
import org.bilberrycart.release.ReleaseSettings
import org.bilberrycart.release.ReleaseState
import org.bilberrycart.replication.SoloFilter
import org.bilberrycart.routing.RoutingFilter
import org.bilberrycart.routing.RoutingState
import org.bilberrycart.settings.NodeSettings

/** The duties of the pipeline, one thread each, in the order in which a request meets them. */
internal class NodeDuties(
    settings: NodeSettings,
    releaseSettings: ReleaseSettings,
    rings: NodeRings,
    sinks: NodeSinks,
    upstreams: Sink<DispatchAction>,
    table: TableClient,
    private val clock: Clock,
    private val observer: NodeObserver,
    seed: Long,
) {
    val admission = duty(
        name = "admission",
        ring = rings.admission,
        initial = AdmissionState(),
        filter = AdmissionFilter(),
        sink = sinks::admission,
    )
    val idempotency = duty(
        name = "idempotency",
        ring = rings.idempotency,
        initial = IdempotencyState(
            instance = "${settings.vm}-${UUID.randomUUID()}",
            seed = seed,
        ),
        filter = IdempotencyFilter(),
        sink = sinks::idempotency,
    )
    val routing = duty(
        name = "routing",
        ring = rings.routing,
        initial = RoutingState(settings.dataCentre, seed = seed),
        filter = RoutingFilter(),
        sink = sinks::routing,
    )
    val dispatch = duty(
        name = "dispatch",
        ring = rings.dispatch,
        initial = DispatchState(),
        filter = DispatchFilter(),
        sink = upstreams,
    )
    val health = duty(
        name = "health",
        ring = rings.health,
        initial = HealthState(),
        filter = HealthFilter(),
        sink = sinks::health,
    )
    val platform = duty(
        name = "platform",
        ring = rings.platform,
        initial = PlatformState(seed = seed),
        filter = PlatformFilter(),
        sink = PlatformSink(table, rings.platform, sinks::platformResult),
    )
    val journal =
        shards("journal", rings.journal, JournalState(), JournalFilter(), sinks::journal)
    val replication =
        shards("replication", rings.replication, Unit, SoloFilter(), sinks::replication)
    val release = shards(
        name = "release",
        shards = rings.release,
        initial = ReleaseState(),
        filter = ReleaseFilter(releaseSettings),
        sink = sinks::release,
    )

    val all: List<Duty<*, *, *>> =
        listOf(
            admission,
            idempotency,
            routing,
            dispatch,
            health,
            platform,
        ) + journal + replication +
            release

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
        onFailure = { _, cause -> observer.failure(name, cause) },
    )
}
