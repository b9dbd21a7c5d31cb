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
import org.bilberrycart.gateway.model.EngineRule
import org.bilberrycart.gateway.model.RepeatRule
import org.bilberrycart.gateway.model.RequestLimits
import org.bilberrycart.gateway.model.ServiceName
import org.bilberrycart.gateway.model.ServiceRule
import org.bilberrycart.gateway.model.ServingConfiguration
import org.bilberrycart.gateway.model.UpstreamId
import org.bilberrycart.gateway.placement.PlacementRun.Companion.attempt

private sealed class Seen {
    data class Listed(val ids: String) : Seen()

    data class Named(val id: String, val service: ServiceName? = Samples.desk) : Seen()

    data class Passed(val time: Duration) : Seen()
}

private data class RegistryCase(val name: String, val seen: List<Seen>, val usable: String) :
    WithDataTestName {
    override fun dataTestName(): String = name
}

private data class QuestionCase(
    val name: String,
    val former: Boolean = false,
    val present: String?,
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

class RegistryTest :
    FunSpec({
        context("an upstream that answered at the address of a") {
            withData(
                RegistryCase("gets work", listOf(Seen.Named("n")), usable = "abn"),
                RegistryCase(
                    "gets none if it serves something else",
                    listOf(Seen.Named("n", ServiceName("other"))),
                    usable = "ab",
                ),
                RegistryCase(
                    "gets none if nobody knows what it serves",
                    listOf(Seen.Named("n", service = null)),
                    usable = "ab",
                ),
                RegistryCase(
                    "gets none if it has left before",
                    listOf(Seen.Listed("abn"), Seen.Listed("ab"), Seen.Named("n")),
                    usable = "ab",
                ),
                RegistryCase(
                    "is kept while the registry is not read",
                    listOf(Seen.Named("n"), Seen.Passed(60.seconds)),
                    usable = "abn",
                ),
                RegistryCase(
                    "is kept for a while when a new list lacks it",
                    listOf(Seen.Named("n"), Seen.Listed("b"), Seen.Passed(2.4.seconds)),
                    usable = "bn",
                ),
                RegistryCase(
                    "is dropped when it stays missing",
                    listOf(Seen.Named("n"), Seen.Listed("b"), Seen.Passed(2.6.seconds)),
                    usable = "b",
                ),
                RegistryCase(
                    "is not taken in again after that",
                    listOf(
                        Seen.Named("n"),
                        Seen.Listed("ab"),
                        Seen.Passed(2.6.seconds),
                        Seen.Named("n"),
                    ),
                    usable = "ab",
                ),
                RegistryCase(
                    "stays when the list names it in time",
                    listOf(
                        Seen.Named("n"),
                        Seen.Listed("b"),
                        Seen.Passed(1.seconds),
                        Seen.Listed("bn"),
                        Seen.Passed(5.seconds),
                    ),
                    usable = "bn",
                ),
                RegistryCase(
                    "leaves like any other once it was listed",
                    listOf(Seen.Named("n"), Seen.Listed("bn"), Seen.Listed("b")),
                    usable = "b",
                ),
            ) { case ->
                val filter = PlacementFilter()
                var now = 1.seconds
                var state = filter.step(PlacementState(), listed("ab"), now).state
                case.seen.forEach { seen ->
                    val event = when (seen) {
                        is Seen.Listed -> listed(seen.ids)
                        is Seen.Named -> PlacementEvent.Identified(
                            UpstreamId("a"),
                            UpstreamId(seen.id),
                            seen.service,
                            bornMillis = 1,
                        )
                        is Seen.Passed -> PlacementEvent.Tick
                    }
                    if (seen is Seen.Passed) now += seen.time
                    state = filter.step(state, event, now).state
                }
                state.upstreams.values.filter { it.isUsable(now) }
                    .map { it.entry.id.value }.sorted().joinToString("") shouldBe case.usable
            }
        }

        context("an answer from another upstream than the one called") {
            withData(
                QuestionCase(
                    "is asked who it is",
                    present = "n",
                    actions = listOf("identify n", "send"),
                ),
                QuestionCase(
                    "is not asked if it says no name",
                    present = null,
                    actions = listOf("send"),
                ),
                QuestionCase(
                    "is not asked if it is known",
                    present = "b",
                    actions = listOf("send"),
                ),
                QuestionCase(
                    "is not asked if it has left",
                    former = true,
                    present = "n",
                    actions = listOf("send"),
                ),
            ) { case ->
                val run = PlacementRun()
                if (case.former) run.register("n")
                run.register("a")
                run.step(
                    PlacementEvent.Submit(Samples.call(Samples.route(RepeatRule.Once))),
                )
                run.register("a", "b")
                run.now += 10.milliseconds
                val answer = Samples.answer(421).let { answer ->
                    answer.copy(
                        head = answer.head.copy(upstream = case.present?.let(::UpstreamId)),
                    )
                }
                run.step(PlacementEvent.Answered(attempt(), answer))
                    .map { if (it.startsWith("send")) "send" else it } shouldBe case.actions
            }
        }

        context("the service of an engine that names its models") {
            withData(
                SoleServiceCase("is the only one with one of them", setOf("m", "x"), "large"),
                SoleServiceCase("is unknown if several have one", setOf("m", "k"), null),
                SoleServiceCase("is unknown if none has", setOf("x"), null),
                SoleServiceCase("is unknown without models", emptySet(), null),
            ) { case ->
                configuration("large" to "m", "small" to "k", "desk" to null)
                    .serviceOf(case.models)?.value shouldBe case.service
            }
        }
    })

private fun listed(ids: String) =
    PlacementEvent.Registered(ids.map { Samples.entry("$it") }.toPersistentList())

private fun configuration(vararg models: Pair<String, String?>) = ServingConfiguration(
    version = 1,
    routes = persistentListOf(),
    services = persistentMapOf<ServiceName, ServiceRule>().putAll(
        models.associate { (name, model) -> ServiceName(name) to service(name, model) },
    ),
    limits = RequestLimits(),
    organisations = null,
)

private fun service(name: String, model: String?) = ServiceRule(
    name = ServiceName(name),
    healthPath = "/health",
    maxConnections = 1,
    engine = model?.let { EngineRule(1, 1, keepsBackups = false, persistentSetOf(it)) },
)
