package org.bilberrycart.routing

import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.Request
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.ServiceCall
import org.bilberrycart.model.ServiceId

/**
 * Names a set of upstreams that can do the same work.
 *
 * @property model what the engines have loaded; null for a plain service.
 * @property lane the part of the set under [RoutingPolicy.Dedicated].
 */
public data class PoolKey(
    val service: ServiceId,
    val model: ModelRef? = null,
    val lane: Lane = Lane.ANY,
) {
    /** A part of the upstreams of a service. */
    public enum class Lane {
        /** All upstreams; the service does not divide them. */
        ANY,

        /** Upstreams that take short questions only. */
        SHORT,

        /** Upstreams that take the rest. */
        REST,
    }

    internal companion object {
        fun of(request: Request, policy: RoutingPolicy): PoolKey {
            val model = when (request) {
                is GenerationRequest -> request.model
                is ServiceCall -> null
            }
            return PoolKey(request.service, model, laneOf(request.requestClass, policy))
        }

        private fun laneOf(requestClass: RequestClass, policy: RoutingPolicy): Lane = when {
            policy !is RoutingPolicy.Dedicated -> Lane.ANY
            requestClass == RequestClass.SHORT_QUESTION -> Lane.SHORT
            else -> Lane.REST
        }
    }
}
