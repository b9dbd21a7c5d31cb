package org.bilberrycart.gateway.entry

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.gateway.model.Refusal
import org.bilberrycart.gateway.model.RouteRule
import org.bilberrycart.gateway.model.RoutedCall
import org.bilberrycart.gateway.model.ServiceConfig
import org.bilberrycart.gateway.model.ServingConfiguration
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.withActions

/**
 * Selects the route of each request and checks that its caller may use it.
 *
 * A configuration that is not newer than the current one is ignored, so that the configuration
 * never goes back to an earlier version while the process runs.
 */
public class EntryFilter : Filter<EntryState, EntryEvent, EntryAction> {
    override fun step(
        state: EntryState,
        event: EntryEvent,
        now: Duration,
    ): Step<EntryState, EntryAction> = when (event) {
        is EntryEvent.Configured -> configured(state, event.configuration)
        is EntryEvent.IntakeLimited -> Step(state.copy(intake = event.intake))
        is EntryEvent.Received -> received(state, event)
        is EntryEvent.CallerGone -> state.withActions(EntryAction.ReportGone(event.key))
    }

    private fun configured(
        state: EntryState,
        configuration: ServingConfiguration,
    ): Step<EntryState, EntryAction> {
        val current = state.configuration
        if (current != null && configuration.version <= current.version) return Step(state)
        return state.copy(configuration = configuration)
            .withActions(EntryAction.ConfigurationApplied(configuration))
    }

    private fun received(
        state: EntryState,
        event: EntryEvent.Received,
    ): Step<EntryState, EntryAction> {
        val configuration = state.configuration
            ?: return refuse(
                state,
                event,
                Refusal.NotRun("no configuration yet", STARTING_RETRY_AFTER),
            )
        val route = configuration.routeOf(event.head.host, event.head.path)
            ?: return refuse(state, event, Refusal.UnknownRoute)
        val organisation = event.head.credential?.let { configuration.organisations?.get(it) }
        val needsKey = !route.isPublic && configuration.organisations != null
        return when {
            needsKey && organisation == null -> refuse(state, event, Refusal.UnknownKey)
            event.body.size > configuration.limits.bodyBytes ->
                refuse(state, event, Refusal.TooLarge)
            !state.intake.accepts(route.retryRule, deadline(event, route)) ->
                refuse(state, event, Refusal.NotRun("the node stops", STOPPING_RETRY_AFTER))
            else -> forward(state, configuration, event, route, organisation)
        }
    }

    private fun forward(
        state: EntryState,
        configuration: ServingConfiguration,
        event: EntryEvent.Received,
        route: RouteRule,
        organisation: String?,
    ): Step<EntryState, EntryAction> {
        val random = Random(state.seed)
        val service = chooseService(configuration, route, random)
            ?: return refuse(state, event, Refusal.NotRun("unknown service", STARTING_RETRY_AFTER))
        val call = route(event, route, service, organisation)
        return state.copy(seed = random.nextLong())
            .withActions(EntryAction.Forward(call, configuration.version))
    }

    private fun route(
        event: EntryEvent.Received,
        route: RouteRule,
        service: ServiceConfig,
        organisation: String?,
    ): RoutedCall = RoutedCall(
        key = event.key,
        head = event.head,
        body = event.body,
        route = route,
        service = service,
        organisation = organisation,
        arrivedAt = event.arrivedAt,
        deadline = deadline(event, route),
        callerDeadline = callerDeadline(event, route),
    )

    private fun callerDeadline(event: EntryEvent.Received, route: RouteRule): Duration =
        event.arrivedAt + (event.head.timeLeft ?: route.timeout)

    private fun deadline(event: EntryEvent.Received, route: RouteRule): Duration =
        minOf(event.arrivedAt + route.timeout, callerDeadline(event, route))

    private fun chooseService(
        configuration: ServingConfiguration,
        route: RouteRule,
        random: Random,
    ): ServiceConfig? {
        val total = route.targets.sumOf { it.weight }
        if (total <= 0) return null
        val point = random.nextInt(total)
        val sums = route.targets.runningFold(0) { sum, target -> sum + target.weight }.drop(1)
        return configuration.services[route.targets[sums.indexOfFirst { point < it }].service]
    }

    private fun refuse(
        state: EntryState,
        event: EntryEvent.Received,
        refusal: Refusal,
    ): Step<EntryState, EntryAction> = state.withActions(
        EntryAction.Refuse(event.key, event.head, refusal, state.configuration?.version),
    )

    private companion object {
        /** The `Retry-After` time for callers of a node that is still starting. */
        val STARTING_RETRY_AFTER = 0.3.seconds

        /** The `Retry-After` time for callers of a stopping node, who should use another node. */
        val STOPPING_RETRY_AFTER = 1.seconds
    }
}
