package org.bilberrycart.gateway.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeSameInstanceAs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.PartReport
import org.bilberrycart.gateway.model.PromptPartId
import org.bilberrycart.gateway.model.UpstreamId

private sealed class PartEvent {
    abstract val at: Duration

    data class Crashed(
        val upstream: String,
        override val at: Duration,
        val parts: List<String> = listOf("first", "bad"),
    ) : PartEvent()

    data class Answered(override val at: Duration, val parts: List<String>) : PartEvent()

    data class Reported(override val at: Duration, val report: PartReport) : PartEvent()
}

private data class PartHistoryCase(
    val name: String,
    val events: List<PartEvent>,
    val blocked: Set<String>,
    val at: Duration = 20.seconds,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private fun crashed(vararg upstreams: String, from: Duration = 3.seconds, parts: List<String>) =
    upstreams.mapIndexed { i, upstream -> PartEvent.Crashed(upstream, from + i.seconds, parts) }

private fun answered(at: Duration, vararg parts: String) = PartEvent.Answered(at, parts.toList())

private fun crashReport(upstream: String, age: Duration) =
    PartReport.CrashReport(upstream, age.inWholeMilliseconds.toInt(), listOf("first", "bad"))

private val both = listOf("first", "bad")

private fun historyAfter(events: List<PartEvent>): PartHistory =
    events.fold(PartHistory()) { history, event ->
        when (event) {
            is PartEvent.Crashed -> history.withCrash(
                UpstreamId(event.upstream),
                event.parts.map(::PromptPartId).toPersistentList(),
                event.at,
            )
            is PartEvent.Answered ->
                history.withAnswer(event.parts.map(::PromptPartId), event.at)
            is PartEvent.Reported -> history.withReport(event.report, event.at)
        }
    }

class PartHistoryTest :
    FunSpec({
        // Guards against requests that crash one engine after the other by a part they share.
        context("prompt parts that are blocked") {
            withData(
                PartHistoryCase(
                    "two crashes block nothing",
                    crashed("a", "b", parts = both),
                    blocked = emptySet(),
                ),
                PartHistoryCase(
                    "three crashes block the part that is in the fewest prompts",
                    crashed("a", "b", "c", parts = both),
                    blocked = setOf("bad"),
                ),
                PartHistoryCase(
                    "a part that comes first is found by the prompts that share only it",
                    listOf("x", "y", "z").flatMapIndexed { i, other ->
                        crashed(other, from = 3.seconds + i.seconds, parts = listOf("bad", other))
                    },
                    blocked = setOf("bad"),
                ),
                PartHistoryCase(
                    "a part that was answered before is not blamed for the one beside it",
                    listOf(answered(1.seconds, "first")) +
                        crashed("a", "b", "c", "d", "e", "f", "g", parts = both),
                    blocked = setOf("bad"),
                ),
                PartHistoryCase(
                    "an answer between crashes clears a part",
                    crashed("a", "b", parts = listOf("first")) +
                        answered(5500.milliseconds, "first") +
                        crashed("c", "d", "e", "f", "g", from = 6.seconds, parts = listOf("first")),
                    blocked = emptySet(),
                ),
                PartHistoryCase(
                    "a part that was answered before is blocked after six crashes",
                    listOf(answered(1.seconds, "first", "bad")) +
                        crashed("a", "b", "c", parts = both) +
                        answered(7.seconds, "first") +
                        crashed("d", "e", "f", from = 8.seconds, parts = both),
                    blocked = setOf("bad"),
                ),
                PartHistoryCase(
                    "two calls that one crash ended count once",
                    listOf("a", "a", "b", "b").mapIndexed { i, upstream ->
                        PartEvent.Crashed(upstream, 3.seconds + 10.milliseconds * i)
                    },
                    blocked = emptySet(),
                ),
                PartHistoryCase(
                    "an upstream that restarts under its id counts each time",
                    (1..3).map { PartEvent.Crashed("a", 4.seconds * it) },
                    blocked = setOf("bad"),
                ),
                PartHistoryCase(
                    "crashes that other nodes saw count too",
                    crashed("a", "b", parts = both) + PartEvent.Reported(
                        8.seconds,
                        PartReport(
                            listOf(crashReport("b", 4.seconds), crashReport("c", 1.seconds)),
                        ),
                    ),
                    blocked = setOf("bad"),
                ),
                PartHistoryCase(
                    "a crash that comes back from another node counts once",
                    crashed("a", "b", parts = both) + (1..5).map {
                        PartEvent.Reported(
                            4.seconds + 400.milliseconds * it,
                            PartReport(listOf(crashReport("b", 300.milliseconds * it))),
                        )
                    },
                    blocked = emptySet(),
                ),
                PartHistoryCase(
                    "a part that another node blocks is blocked here",
                    listOf(
                        PartEvent.Reported(4.seconds, PartReport(blockedAges = mapOf("bad" to 50))),
                    ),
                    blocked = setOf("bad"),
                ),
                PartHistoryCase(
                    "another node's later answer releases the parts of its prompt",
                    crashed("a", "b", "c", parts = both) + PartEvent.Reported(
                        9.seconds,
                        PartReport(answerAges = mapOf("first" to 100, "bad" to 100)),
                    ),
                    blocked = emptySet(),
                ),
                PartHistoryCase(
                    "another node's block that is older than an answer here is ignored",
                    listOf(
                        answered(5.seconds, "bad"),
                        PartEvent.Reported(
                            6.seconds,
                            PartReport(blockedAges = mapOf("bad" to 2000)),
                        ),
                    ),
                    blocked = emptySet(),
                ),
                PartHistoryCase(
                    "a block ends after ten minutes",
                    crashed("a", "b", "c", parts = both),
                    blocked = emptySet(),
                    at = 11.minutes,
                ),
                PartHistoryCase(
                    "after a block has ended, one crash blocks the part again",
                    crashed("a", "b", "c", parts = both) + PartEvent.Crashed("d", 12.minutes),
                    blocked = setOf("bad"),
                    at = 13.minutes,
                ),
            ) { case ->
                val history = historyAfter(case.events)
                val parts = listOf("first", "bad", "x", "y", "z").filter {
                    history.blockedAmong(listOf(PromptPartId(it)), case.at) != null
                }
                parts.toSet() shouldBe case.blocked
            }
        }

        test("a report leaves out answers that nobody asks about and is limited in size") {
            val answers = (1..5000).map { answered(it.milliseconds, "p$it") }
            historyAfter(answers).toReport(6.seconds) shouldBe PartReport()
            historyAfter(answers).answers.size shouldBeLessThanOrEqualTo 4096

            val crashes = (1..40).map {
                PartEvent.Crashed("u$it", 45.seconds + 100.milliseconds * it, listOf("p$it"))
            }
            historyAfter(answers + crashes).toReport(50.seconds).crashes.size shouldBe 8

            val blocks = PartReport(blockedAges = (1..200).associate { "b$it" to it })
            val blocked = historyAfter(listOf(PartEvent.Reported(9.seconds, blocks)))
            blocked.toReport(10.seconds).blockedAges.size shouldBe 64
        }

        test(
            "crashes are told for 15 s, blocks for 10 min, and known ones change nothing",
        ) {
            val history = historyAfter(crashed("a", "b", "c", parts = both))
            history.toReport(10.seconds).crashes.size shouldBe 3
            history.toReport(30.seconds).crashes.size shouldBe 0
            history.toReport(30.seconds).blockedAges.keys shouldBe setOf("bad")
            history.toReport(11.minutes) shouldBe PartReport()
            history.withReport(history.toReport(10.seconds), 10.1.seconds) shouldBeSameInstanceAs
                history
        }

        test("a node that has answers for a part tells those that suspect it") {
            val report = PartReport(blockedAges = mapOf("first" to 100, "bad" to 100))
            val told = historyAfter(
                listOf(answered(1.seconds, "first"), PartEvent.Reported(2.seconds, report)),
            ).toReport(3.seconds)
            told.answerAges shouldBe mapOf("first" to 2000)
        }
    })
