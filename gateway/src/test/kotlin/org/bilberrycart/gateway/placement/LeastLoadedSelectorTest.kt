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
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.model.UpstreamId
import org.bilberrycart.gateway.placement.PlacementRun.Companion.attempt

private data class SelectionCase(
    val name: String,
    val ownLoads: Map<String, Int> = emptyMap(),
    val peerLoads: Map<String, Int> = emptyMap(),
    val peers: Set<String> = emptySet(),
    val expected: Set<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private val STREAM = Samples.route(
    RetryRule.Stream(isResumable = true),
    attempts = 5,
    timeout = 25.seconds,
    objective = 4.seconds,
)

class LeastLoadedSelectorTest :
    FunSpec({
        context("a new stream goes to the engine with the least load") {
            withData(
                SelectionCase(
                    "the only idle engine",
                    peerLoads = mapOf("a" to 4, "b" to 1),
                    expected = setOf("c"),
                ),
                SelectionCase(
                    "three started streams (load 3) weigh less than one unread prompt (load 4)",
                    peerLoads = mapOf("a" to 4, "b" to 4, "c" to 3),
                    expected = setOf("c"),
                ),
                SelectionCase(
                    "this node's load counts as much as the load that peers report",
                    ownLoads = mapOf("c" to 1),
                    peerLoads = mapOf("a" to 2, "b" to 3),
                    expected = setOf("a"),
                ),
                SelectionCase(
                    "an engine of this node's share if the loads are equal",
                    peers = setOf("p", "q"),
                    expected = setOf("a", "b", "c")
                        .filter {
                            NodeShare("me", setOf("p", "q")).contains(UpstreamId(it))
                        }.toSet()
                        .ifEmpty { setOf("a", "b", "c") },
                ),
            ) { case ->
                (1L..20L).forEach { seed ->
                    val run = PlacementRun(seed = seed)
                    case.ownLoads.keys.forEach { id ->
                        run.register(id)
                        run.step(PlacementEvent.Submit(Samples.call(STREAM, key = 9)))
                    }
                    run.register("a", "b", "c")
                    run.step(
                        PlacementEvent.PeerReport(
                            case.peerLoads.mapKeys { UpstreamId(it.key) }.toPersistentMap(),
                            persistentMapOf(),
                            share = NodeShare("me", case.peers),
                        ),
                    )
                    run.step(PlacementEvent.Submit(Samples.call(STREAM)))
                    run.state.calls.getValue(CallKey(1)).attempts.values.single()
                        .upstream.value shouldBeIn case.expected
                }
            }
        }

        test("a stream adds a load of 4 before its first event, 1 after it and 0 after its end") {
            val run = PlacementRun()
            run.register("a")
            run.step(PlacementEvent.Submit(Samples.call(STREAM)))
            run.state.loads() shouldBe mapOf(UpstreamId("a") to 4)
            run.step(PlacementEvent.StreamOpened(attempt()))
            run.step(PlacementEvent.StreamProgressed(attempt()))
            run.state.loads() shouldBe mapOf(UpstreamId("a") to 1)
            run.step(PlacementEvent.StreamCompleted(attempt()))
            run.state.loads() shouldBe emptyMap()
        }

        context("every upstream is in the share of exactly one node") {
            withData(nameFn = { "$it nodes" }, 1, 2, 4, 31) { count ->
                val names = (1..count).map { "10.0.0.$it:7200" }
                val shares = names.map { NodeShare(it, names.toSet() - it) }
                val upstreams = (1..1000).map { UpstreamId("i-$it") }
                val sizes = shares.map { share -> upstreams.count { share.contains(it) } }
                sizes.sum() shouldBe upstreams.size
                sizes.forEach { it shouldBeInRange (500 / count)..(2000 / count) }
            }
        }

        test("no node loses upstreams from its share when another node leaves") {
            val before = NodeShare("a", setOf("b", "c"))
            val after = NodeShare("a", setOf("b"))
            val upstreams = (1..200).map { UpstreamId("i-$it") }
            upstreams.filter { before.contains(it) && !after.contains(it) } shouldBe emptyList()
        }
    })
