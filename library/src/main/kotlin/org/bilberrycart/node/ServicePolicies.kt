package org.bilberrycart.node

import org.bilberrycart.journal.GenerationPolicy
import org.bilberrycart.model.ServiceId
import org.bilberrycart.routing.RoutingEvent
import org.bilberrycart.routing.ServiceRouting
import org.bilberrycart.settings.FleetSettings
import org.bilberrycart.settings.ServiceSettings

/** Returns the policy by which generations of [service] are monitored and resumed. */
internal fun FleetSettings.generationPolicy(service: ServiceId): GenerationPolicy =
    when (val settings = services[service]) {
        is ServiceSettings.Generation -> GenerationPolicy(
            resume = settings.resume,
            silenceFloor = settings.silenceFloor,
            silenceCap = settings.silenceCap,
            maxLosses = settings.attemptLimit,
        )
        is ServiceSettings.Plain, null -> GenerationPolicy()
    }

/** Returns the part of the configuration that routing uses. */
internal fun FleetSettings.routingConfiguration(): RoutingEvent.Configured =
    RoutingEvent.Configured(
        upstreams = declaredUpstreams().toList(),
        services = services.mapValues { (_, settings) -> settings.toRouting() },
    )

private fun ServiceSettings.toRouting(): ServiceRouting = when (this) {
    is ServiceSettings.Generation -> ServiceRouting(policy = routing, shortReserve = reserveShare)
    is ServiceSettings.Plain -> ServiceRouting(policy = routing, shortReserve = 0.0)
}
