package org.bilberrycart.bench.traffic

import org.bilberrycart.decode.GenerationDraft
import org.bilberrycart.model.ServiceId
import org.bilberrycart.settings.Endpoint
import org.bilberrycart.standins.engine.StreamRequest

/** Where a load sends its requests, each to the endpoints in turn. */
sealed class CallerTarget {
    /** The endpoints, used in turn. */
    abstract val endpoints: List<Endpoint>

    /** Engines, without a node between. */
    data class Engines(override val endpoints: List<Endpoint>) : CallerTarget()

    /** Nodes, which know [service]. */
    data class Nodes(override val endpoints: List<Endpoint>, val service: ServiceId) :
        CallerTarget()

    /** Returns the endpoint for [arrival]. */
    fun endpointOf(arrival: Arrival): Endpoint = endpoints[arrival.number % endpoints.size]
}

/** Returns the body that asks a node for this generation. */
internal fun Arrival.toDraft(service: ServiceId) = GenerationDraft(
    service = service,
    model = Arrival.MODEL,
    prompt = prompt,
    maxTokens = maxTokens,
    requestClass = requestClass,
    deadlineMillis = deadline.inWholeMilliseconds,
)

/** Returns the body that asks an engine for this generation. */
internal fun Arrival.toStreamRequest() = StreamRequest(
    attempt = "load-$number",
    model = Arrival.MODEL,
    prompt = prompt,
    maxTokens = maxTokens,
    priority = requestClass.priority,
)
