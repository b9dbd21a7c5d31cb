package org.bilberrycart.node

import kotlin.random.Random
import org.bilberrycart.admission.AdmissionFilter
import org.bilberrycart.admission.AdmissionState
import org.bilberrycart.dispatch.DispatchFilter
import org.bilberrycart.dispatch.DispatchState
import org.bilberrycart.dispatch.UpstreamClient
import org.bilberrycart.journal.JournalFilter
import org.bilberrycart.journal.JournalState
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Duty
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.pipeline.Shards
import org.bilberrycart.pipeline.Sink
import org.bilberrycart.release.ReleaseFilter
import org.bilberrycart.release.ReleaseSettings
import org.bilberrycart.release.ReleaseState
import org.bilberrycart.replication.SoloFilter
import org.bilberrycart.routing.RoutingFilter
import org.bilberrycart.routing.RoutingState

/** The duties of the pipeline, one thread each, in the order in which a request meets them. */
internal class NodeDuties(
    dataCentre: DataCentreId,
    releaseSettings: ReleaseSettings,
    private val rings: NodeRings,
    private val sinks: NodeSinks,
    private val client: UpstreamClient,
    private val clock: Clock,
    private val observer: NodeObserver,
) : AutoCloseable {
    val admission = duty(
        name = "admission",
        ring = rings.admission,
        initial = AdmissionState(),
        filter = AdmissionFilter(),
        sink = sinks::admission,
    )
    val routing = duty(
        name = "routing",
        ring = rings.routing,
        initial = RoutingState(dataCentre, seed = Random.nextLong()),
        filter = RoutingFilter(),
        sink = sinks::routing,
    )
    val dispatch = duty(
        name = "dispatch",
        ring = rings.dispatch,
        initial = DispatchState(),
        filter = DispatchFilter(),
        sink = client,
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

    private val all: List<Duty<*, *, *>> =
        listOf(admission, routing, dispatch) + journal + replication + release

    fun start(): Unit = all.forEach { it.start() }

    override fun close() {
        rings.close()
        all.forEach { it.close() }
    }

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
