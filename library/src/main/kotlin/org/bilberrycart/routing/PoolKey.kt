package org.bilberrycart.routing

import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.Request
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.ServiceCall
import org.bilberrycart.model.ServiceId

/**
 * Identifies a set of upstreams that can run the same work.
 *
 * @property model the model that the engines have loaded; null for a service without models.
 * @property lane the part of the set that [RoutingPolicy.Dedicated] assigns to the work.
 */
public data class PoolKey(
    val service: ServiceId,
    val model: ModelRef? = null,
    val lane: Lane = Lane.ANY,
) {
    /** The part of the upstreams of a service that takes one kind of work. */
    public enum class Lane {
        /** All upstreams, because the policy of the service does not divide them. */
        ANY,

        /** The upstreams that take short questions only. */
        SHORT,

        /** The upstreams that take all other work. */
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
