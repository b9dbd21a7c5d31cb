package org.bilberrycart.bench.traffic

import org.bilberrycart.decode.GenerationDraft
import org.bilberrycart.model.ServiceId
import org.bilberrycart.settings.Endpoint
import org.bilberrycart.standins.engine.StreamRequest

/** The servers that a load sends its requests to. */
sealed class CallerTarget {
    /** The endpoints, used in round robin. */
    abstract val endpoints: List<Endpoint>

    /** Engines, which receive requests directly, without a node. */
    data class Engines(override val endpoints: List<Endpoint>) : CallerTarget()

    /** Nodes, which receive requests for the generation [service]. */
    data class Nodes(override val endpoints: List<Endpoint>, val service: ServiceId) :
        CallerTarget()

    /** Returns the endpoint that receives [arrival]. */
    fun endpointOf(arrival: Arrival): Endpoint = endpoints[arrival.number % endpoints.size]
}

/** Returns the request body for a node. */
internal fun Arrival.toDraft(service: ServiceId) = GenerationDraft(
    service = service,
    model = Arrival.MODEL,
    prompt = prompt,
    maxTokens = maxTokens,
    requestClass = requestClass,
    deadlineMillis = deadline.inWholeMilliseconds,
)

/** Returns the request body for an engine. */
internal fun Arrival.toStreamRequest() = StreamRequest(
    attempt = "load-$number",
    model = Arrival.MODEL,
    prompt = prompt,
    maxTokens = maxTokens,
    priority = requestClass.priority,
)
