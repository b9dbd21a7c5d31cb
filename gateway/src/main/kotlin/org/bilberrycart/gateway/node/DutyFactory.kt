package org.bilberrycart.gateway.node

import org.bilberrycart.gateway.metrics.GatewayMetrics
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Duty
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Ring
import org.bilberrycart.pipeline.Sink

/**
 * Builds the duties of a node, named after their rings, whose failures are counted alike.
 *
 * @property onEnded called with the name of a duty whose thread an error has ended.
 */
internal class DutyFactory(
    private val clock: Clock,
    private val metrics: GatewayMetrics,
    private val onEnded: (duty: String) -> Unit,
) {
    fun <S : Any, E : Any, A : Any> duty(
        ring: Ring<E>,
        initial: S,
        filter: Filter<S, E, A>,
        sink: Sink<A>,
    ): Duty<S, E, A> = Duty(
        name = ring.name,
        ring = ring,
        initial = initial,
        filter = filter,
        clock = clock,
        sink = sink,
        onFailure = { _, _ -> metrics.dutyFailed(ring.name, hasEnded = false) },
        onEnded = { onEnded(ring.name) },
    )
}
