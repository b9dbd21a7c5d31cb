package org.bilberrycart.gateway.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.bilberrycart.gateway.Samples
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.RepeatRule
import org.bilberrycart.gateway.model.UpstreamId
import org.bilberrycart.gateway.placement.PlacementRun.Companion.attempt

private data class ChoiceCase(
    val name: String,
    val own: Map<String, Int> = emptyMap(),
    val elsewhere: Map<String, Int> = emptyMap(),
    val peers: Set<String> = emptySet(),
    val chosen: Set<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private val STREAM = Samples.route(
    RepeatRule.Stream(isResumable = true),
    attempts = 5,
    timeout = 25.seconds,
    objective = 4.seconds,
)

class ChooserTest :
    FunSpec({
        context("a prompt goes to the engine with the least to do") {
            withData(
                ChoiceCase(
                    "an idle one",
                    elsewhere = mapOf("a" to 4, "b" to 1),
                    chosen = setOf("c"),
                ),
                ChoiceCase(
                    "rather beside three runs than behind a prompt",
                    elsewhere = mapOf("a" to 4, "b" to 4, "c" to 3),
                    chosen = setOf("c"),
                ),
                ChoiceCase(
                    "its own work counts like that of others",
                    own = mapOf("c" to 1),
                    elsewhere = mapOf("a" to 2, "b" to 3),
                    chosen = setOf("a"),
                ),
                ChoiceCase(
                    "one of its share among equals",
                    peers = setOf("p", "q"),
                    chosen = setOf("a", "b", "c")
                        .filter { NodeShare("me", setOf("p", "q")).has(UpstreamId(it)) }.toSet()
                        .ifEmpty { setOf("a", "b", "c") },
                ),
            ) { case ->
                (1L..20L).forEach { seed ->
                    val run = PlacementRun(seed = seed)
                    case.own.keys.forEach { id ->
                        run.register(id)
                        run.step(PlacementEvent.Submit(Samples.call(STREAM, key = 9)))
                    }
                    run.register("a", "b", "c")
                    run.step(
                        PlacementEvent.LoadElsewhere(
                            case.elsewhere.mapKeys { UpstreamId(it.key) }.toPersistentMap(),
                            persistentMapOf(),
                            share = NodeShare("me", case.peers),
                        ),
                    )
                    run.step(PlacementEvent.Submit(Samples.call(STREAM)))
                    run.state.calls.getValue(CallKey(1)).attempts.values.single()
                        .upstream.value shouldBeIn case.chosen
                }
            }
        }

        test("a prompt weighs more than a run, and a run than nothing") {
            val run = PlacementRun()
            run.register("a")
            run.step(PlacementEvent.Submit(Samples.call(STREAM)))
            run.state.loads() shouldBe mapOf(UpstreamId("a") to 4)
            run.step(PlacementEvent.StreamOpened(attempt()))
            run.step(PlacementEvent.StreamMoved(attempt()))
            run.state.loads() shouldBe mapOf(UpstreamId("a") to 1)
            run.step(PlacementEvent.StreamEnded(attempt()))
            run.state.loads() shouldBe emptyMap()
        }

        context("nodes share the upstreams") {
            withData(nameFn = { "$it nodes" }, 1, 2, 4, 31) { count ->
                val names = (1..count).map { "10.0.0.$it:7200" }
                val shares = names.map { NodeShare(it, names.toSet() - it) }
                val upstreams = (1..1000).map { UpstreamId("i-$it") }
                val sizes = shares.map { share -> upstreams.count { share.has(it) } }
                sizes.sum() shouldBe upstreams.size
                sizes.forEach { it shouldBeInRange (500 / count)..(2000 / count) }
            }
        }

        test("a node that leaves changes only its own share") {
            val before = NodeShare("a", setOf("b", "c"))
            val after = NodeShare("a", setOf("b"))
            val upstreams = (1..200).map { UpstreamId("i-$it") }
            upstreams.filter { before.has(it) && !after.has(it) } shouldBe emptyList()
        }
    })
