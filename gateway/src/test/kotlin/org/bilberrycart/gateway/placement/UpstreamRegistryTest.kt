package org.bilberrycart.gateway.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.Samples
import org.bilberrycart.gateway.model.EngineCapabilities
import org.bilberrycart.gateway.model.RequestLimits
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.model.ServiceConfig
import org.bilberrycart.gateway.model.ServiceName
import org.bilberrycart.gateway.model.ServingConfiguration
import org.bilberrycart.gateway.model.UpstreamId
import org.bilberrycart.gateway.placement.PlacementRun.Companion.attempt

private sealed class RegistryStep {
    data class Listed(val ids: String) : RegistryStep()

    data class Identified(val id: String, val service: ServiceName? = Samples.desk) : RegistryStep()

    data class TimePassed(val time: Duration) : RegistryStep()
}

private data class RegistryCase(
    val name: String,
    val steps: List<RegistryStep>,
    val usable: String,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private data class MisdirectedAnswerCase(
    val name: String,
    val hasLeft: Boolean = false,
    val answeredBy: String?,
    val actions: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private data class SoleServiceCase(
    val name: String,
    val models: Set<String>,
    val service: String?,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

class UpstreamRegistryTest :
    FunSpec({
        context("an upstream n that answered at the address of a") {
            withData(
                RegistryCase("is adopted", listOf(RegistryStep.Identified("n")), usable = "abn"),
                RegistryCase(
                    "is not adopted if it has another service",
                    listOf(RegistryStep.Identified("n", ServiceName("other"))),
                    usable = "ab",
                ),
                RegistryCase(
                    "is not adopted if its service is unknown",
                    listOf(RegistryStep.Identified("n", service = null)),
                    usable = "ab",
                ),
                RegistryCase(
                    "is not adopted if it was removed before",
                    listOf(
                        RegistryStep.Listed("abn"),
                        RegistryStep.Listed("ab"),
                        RegistryStep.Identified("n"),
                    ),
                    usable = "ab",
                ),
                RegistryCase(
                    "is kept while the registry can't be read",
                    listOf(RegistryStep.Identified("n"), RegistryStep.TimePassed(60.seconds)),
                    usable = "abn",
                ),
                RegistryCase(
                    "is kept for the grace period if a new listing lacks it",
                    listOf(
                        RegistryStep.Identified("n"),
                        RegistryStep.Listed("b"),
                        RegistryStep.TimePassed(2.4.seconds),
                    ),
                    usable = "bn",
                ),
                RegistryCase(
                    "is dropped after the grace period",
                    listOf(
                        RegistryStep.Identified("n"),
                        RegistryStep.Listed("b"),
                        RegistryStep.TimePassed(2.6.seconds),
                    ),
                    usable = "b",
                ),
                RegistryCase(
                    "is not adopted again after it was dropped",
                    listOf(
                        RegistryStep.Identified("n"),
                        RegistryStep.Listed("ab"),
                        RegistryStep.TimePassed(2.6.seconds),
                        RegistryStep.Identified("n"),
                    ),
                    usable = "ab",
                ),
                RegistryCase(
                    "is kept if it is listed within the grace period",
                    listOf(
                        RegistryStep.Identified("n"),
                        RegistryStep.Listed("b"),
                        RegistryStep.TimePassed(1.seconds),
                        RegistryStep.Listed("bn"),
                        RegistryStep.TimePassed(5.seconds),
                    ),
                    usable = "bn",
                ),
                RegistryCase(
                    "is removed like any other after it was listed",
                    listOf(
                        RegistryStep.Identified("n"),
                        RegistryStep.Listed("bn"),
                        RegistryStep.Listed("b"),
                    ),
                    usable = "b",
                ),
            ) { case ->
                val filter = PlacementFilter()
                var now = 1.seconds
                var state = filter.step(PlacementState(), listed("ab"), now).state
                case.steps.forEach { step ->
                    val event = when (step) {
                        is RegistryStep.Listed -> listed(step.ids)
                        is RegistryStep.Identified -> PlacementEvent.Identified(
                            UpstreamId("a"),
                            UpstreamId(step.id),
                            step.service,
                            startedAtMillis = 1,
                        )
                        is RegistryStep.TimePassed -> PlacementEvent.Tick
                    }
                    if (step is RegistryStep.TimePassed) now += step.time
                    state = filter.step(state, event, now).state
                }
                state.upstreams.values.filter { it.isUsable(now) }
                    .map { it.entry.id.value }.sorted().joinToString("") shouldBe case.usable
            }
        }

        context("an upstream that answers in place of another") {
            withData(
                MisdirectedAnswerCase(
                    "is asked for its service",
                    answeredBy = "n",
                    actions = listOf("identify n", "send"),
                ),
                MisdirectedAnswerCase(
                    "is not asked if the answer states no id",
                    answeredBy = null,
                    actions = listOf("send"),
                ),
                MisdirectedAnswerCase(
                    "is not asked if it is known",
                    answeredBy = "b",
                    actions = listOf("send"),
                ),
                MisdirectedAnswerCase(
                    "is not asked if it was removed before",
                    hasLeft = true,
                    answeredBy = "n",
                    actions = listOf("send"),
                ),
            ) { case ->
                val run = PlacementRun()
                if (case.hasLeft) run.register("n")
                run.register("a")
                run.step(
                    PlacementEvent.Submit(Samples.call(Samples.route(RetryRule.AtMostOnce))),
                )
                run.register("a", "b")
                run.now += 10.milliseconds
                val answer = Samples.answer(421).let { answer ->
                    answer.copy(
                        head = answer.head.copy(upstream = case.answeredBy?.let(::UpstreamId)),
                    )
                }
                run.step(PlacementEvent.Answered(attempt(), answer))
                    .map { if (it.startsWith("send")) "send" else it } shouldBe case.actions
            }
        }

        context("the service of an engine that reports its models") {
            withData(
                SoleServiceCase(
                    "is the only service that serves one of them",
                    setOf("m", "x"),
                    "large",
                ),
                SoleServiceCase("is unknown if several services serve them", setOf("m", "k"), null),
                SoleServiceCase("is unknown if no service serves them", setOf("x"), null),
                SoleServiceCase("is unknown without models", emptySet(), null),
            ) { case ->
                configuration("large" to "m", "small" to "k", "desk" to null)
                    .serviceOf(case.models)?.value shouldBe case.service
            }
        }
    })

private fun listed(ids: String) =
    PlacementEvent.UpstreamsListed(ids.map { Samples.entry("$it") }.toPersistentList())

private fun configuration(vararg models: Pair<String, String?>) = ServingConfiguration(
    version = 1,
    routes = persistentListOf(),
    services = persistentMapOf<ServiceName, ServiceConfig>().putAll(
        models.associate { (name, model) -> ServiceName(name) to service(name, model) },
    ),
    limits = RequestLimits(),
    organisations = null,
)

private fun service(name: String, model: String?) = ServiceConfig(
    name = ServiceName(name),
    healthPath = "/health",
    maxConnections = 1,
    engine = model?.let { EngineCapabilities(1, 1, supportsBackups = false, persistentSetOf(it)) },
)
