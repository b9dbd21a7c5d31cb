package org.bilberrycart.gateway.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.Samples
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.model.StreamOrigin
import org.bilberrycart.gateway.placement.PlacementRun.Companion.attempt

/**
 * A stream that begins at engine "a" of version v1 and is lost there.
 *
 * @property others the upstreams listed after it was sent to "a": "ID VERSION", leaving with a "-".
 * @property hasBegun whether "a" sent an event.
 * @property actions what the loss leads to.
 */
private data class LossCase(
    val name: String,
    val others: List<String>,
    val hasBegun: Boolean = true,
    val actions: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

/** A caller resumes a stream that began at [origin], with "a v1", "b v2" and "c v2-" listed. */
private data class TakeUpCase(
    val name: String,
    val origin: StreamOrigin?,
    val actions: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

/** A stream that was sent to v2 after half a second, when streams shall begin at v1 only. */
private data class MoveCase(
    val name: String,
    val recordedUntil: Duration = Duration.ZERO,
    val hasBegun: Boolean = false,
    val actions: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private const val SEEDS = 20L

private val route = Samples.route(
    RetryRule.Stream(isResumable = true),
    attempts = 5,
    timeout = 25.seconds,
    objective = 4.seconds,
)

private fun PlacementRun.list(vararg upstreams: String) = step(
    PlacementEvent.UpstreamsListed(
        upstreams.map {
            val (id, version) = it.removeSuffix("-").split(' ')
            Samples.entry(id, isLeaving = it.endsWith("-"), softwareVersion = version)
                .copy(host = "host-$id")
        }.toPersistentList(),
    ),
)

/** Begins a stream at "a" of version v1, with [others] listed after that. */
private fun begun(seed: Long, others: List<String>, hasBegun: Boolean): PlacementRun {
    val run = PlacementRun(seed = seed)
    run.list("a v1")
    run.step(PlacementEvent.Submit(Samples.call(route, hasBackups = true)))
    run.list("a v1", *others.toTypedArray())
    run.step(PlacementEvent.StreamOpened(attempt()))
    if (hasBegun) run.step(PlacementEvent.StreamProgressed(attempt()))
    return run
}

class SoftwareVersionTest :
    FunSpec({
        // Guards against a stream that is joined from two software versions (ORDER).
        context("a stream that is lost") {
            withData(
                LossCase(
                    "goes on at its version",
                    others = listOf("b v2", "c v1", "d v2", "e v3"),
                    actions = listOf("send c"),
                ),
                LossCase(
                    "ends at once if no upstream of its version is left",
                    others = listOf("a v1-", "b v2", "c v2"),
                    actions = listOf("abort"),
                ),
                LossCase(
                    "ends at once if all upstreams of its version leave",
                    others = listOf("a v1-", "b v1-", "c v2"),
                    actions = listOf("abort"),
                ),
                LossCase(
                    "waits for the upstream of its version that is down",
                    others = listOf("b v2"),
                    actions = emptyList(),
                ),
                LossCase(
                    "may begin at another version if it had no event",
                    others = listOf("a v1-", "b v2"),
                    hasBegun = false,
                    actions = listOf("send b"),
                ),
            ) { case ->
                (1..SEEDS).forEach { seed ->
                    val run = begun(seed, case.others, case.hasBegun)
                    run.step(PlacementEvent.AttemptFailed(attempt(), "reset"))
                        .map { it.substringBefore(" backup") } shouldBe case.actions
                }
            }
        }

        // Guards against a KV cache copy that can't be used, or is used at another version (ORDER).
        context("the KV cache copy lies at an upstream of the same version") {
            withData(
                nameFn = { (upstreams, _) -> "$upstreams" },
                listOf("b v1", "c v2") to "send a backup b",
                listOf("b v2", "c v2") to "send a",
            ) { (others, sent) ->
                (1..SEEDS).forEach { seed ->
                    val run = PlacementRun(seed = seed)
                    run.list("a v1")
                    run.list("a v1", *others.toTypedArray())
                    val call = Samples.call(route, hasBackups = true)
                    val sends = run.step(PlacementEvent.Submit(call))
                    if (sends.first().startsWith("send a")) sends shouldBe listOf(sent)
                }
            }
        }

        // Guards against streams that begin where no record will name their version (ORDER).
        context("while streams shall begin at v1 only, a stream") {
            withData(
                nameFn = { (upstreams, _) -> "$upstreams" },
                listOf("a v1", "b v2", "c v2") to setOf("send a"),
                listOf("a v2", "b v2", "c v1-") to setOf("send a", "send b"),
            ) { (upstreams, sent) ->
                val sends = (1..SEEDS).flatMap { seed ->
                    val run = PlacementRun(seed = seed)
                    run.list(*upstreams.toTypedArray())
                    val limit = persistentMapOf(Samples.desk to "v1")
                    run.step(PlacementEvent.VersionsLimited(limit, since = Duration.ZERO))
                    run.step(PlacementEvent.Submit(Samples.call(route)))
                }
                sends.toSet() shouldBe sent
            }
        }

        // Guards against streams that are on their way when they can no longer be recorded (ORDER).
        context("a stream that was sent to v2 moves to v1") {
            withData(
                MoveCase("if it is not recorded", actions = listOf("cancel 1", "send a")),
                MoveCase("unless it is recorded", recordedUntil = 1.seconds, actions = emptyList()),
                MoveCase("unless it has begun", hasBegun = true, actions = emptyList()),
            ) { case ->
                val run = PlacementRun(seed = 1)
                run.list("b v2")
                run.now = 500.milliseconds
                run.step(PlacementEvent.Submit(Samples.call(route)))
                run.list("a v1", "b v2")
                run.step(PlacementEvent.StreamOpened(attempt()))
                if (case.hasBegun) run.step(PlacementEvent.StreamProgressed(attempt()))
                val limit = persistentMapOf(Samples.desk to "v1")
                run.step(PlacementEvent.VersionsLimited(limit, case.recordedUntil)) shouldBe
                    case.actions
            }
        }

        // Guards against callers' next tries that go on at another software version (ORDER).
        context("a stream that its caller resumes") {
            withData(
                TakeUpCase("goes on at its version", StreamOrigin.BegunAt("v2"), listOf("send b")),
                TakeUpCase(
                    "is rejected at once if no upstream of its version is left",
                    StreamOrigin.BegunAt("v0"),
                    listOf("refuse not run"),
                ),
                TakeUpCase(
                    "is rejected if nobody knows its version",
                    null,
                    listOf("refuse not run"),
                ),
            ) { case ->
                (1..SEEDS).forEach { seed ->
                    val run = PlacementRun(seed = seed)
                    run.list("a v1", "b v2", "c v2-")
                    val call = Samples.call(route)
                    val takenUp = call.copy(head = call.head.copy(lastEvent = 4))
                    run.step(PlacementEvent.Submit(takenUp)) shouldBe listOf("seek origin")
                    run.advance(0.5.seconds) shouldBe emptyList()
                    run.step(PlacementEvent.OriginFound(call.key, case.origin)) shouldBe
                        case.actions
                }
            }
        }

        test("a stream that began while it was sent to another version goes back to its own") {
            val run = begun(seed = 1, others = listOf("b v2", "c v1"), hasBegun = false)
            run.list("b v2", "a v1-")
            run.step(PlacementEvent.AttemptFailed(attempt(), "reset")) shouldBe listOf("send b")
            run.list("b v2", "c v1", "a v1-")
            val origin = StreamOrigin.BegunAt("v1")
            run.step(PlacementEvent.BegunElsewhere(attempt(2), origin)) shouldBe listOf("send c")
        }

        test("an upstream found at another's address is not adopted beside several versions") {
            val run = PlacementRun()
            run.list("a v1", "b v2")
            val found = PlacementEvent.Identified(
                replaced = Samples.entry("a").id,
                id = Samples.entry("x").id,
                service = Samples.desk,
                startedAtMillis = 2,
            )
            run.step(found)
            run.state.upstreams.keys shouldBe setOf(Samples.entry("a").id, Samples.entry("b").id)
        }
    })
