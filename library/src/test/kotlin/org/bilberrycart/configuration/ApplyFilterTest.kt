package org.bilberrycart.configuration

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlinx.serialization.json.Json
import org.bilberrycart.store.Row
import org.bilberrycart.store.StoreFailure
import org.bilberrycart.store.StoreResult

private data class ApplyCase(
    val name: String,
    val answers: List<StoreResult>,
    val outcome: ApplyOutcome?,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private val ownDocument = ConfigurationDocument(4, "mine", "a", "today", "{}")
private val otherDocument = ownDocument.copy(publication = "theirs")

private fun head(version: Long) =
    StoreResult.Found(Row(ConfigurationStore.headKey, """{"version":$version}""", version))

private fun stored(document: ConfigurationDocument) = StoreResult.Found(
    Row(ConfigurationStore.documentKey(4), Json.encodeToString(document), version = 9),
)

private val applied = StoreResult.Applied(version = 9)
private val conflict = StoreResult.Conflict(ConfigurationStore.headKey, row = null)
private val timedOut = StoreResult.UnknownOutcome(StoreFailure.TIMED_OUT)
private val unavailable = StoreResult.Unavailable(StoreFailure.REFUSED)
private val absent = StoreResult.Found(row = null)

class ApplyFilterTest :
    FunSpec({
        context("a change is accepted only after it was read back") {
            withData(
                ApplyCase("written, not read back", listOf(head(3), applied), outcome = null),
                ApplyCase(
                    "written and read back",
                    listOf(head(3), applied, stored(ownDocument)),
                    ApplyOutcome.Accepted(version = 4),
                ),
                ApplyCase(
                    "the answer to the write is lost, the write was applied",
                    listOf(head(3), timedOut, stored(ownDocument)),
                    ApplyOutcome.Accepted(version = 4),
                ),
                ApplyCase(
                    "the answer to the write is lost, the write was not applied: it is repeated",
                    listOf(head(3), timedOut, absent, head(3), applied, stored(ownDocument)),
                    ApplyOutcome.Accepted(version = 4),
                ),
                ApplyCase(
                    "the base is not the newest version",
                    listOf(head(5)),
                    ApplyOutcome.Conflict(current = 5),
                ),
                ApplyCase(
                    "another operator applied a change first",
                    listOf(head(3), conflict, stored(otherDocument)),
                    ApplyOutcome.Conflict(current = 4),
                ),
                ApplyCase(
                    "the answer to the write is lost, another operator applied a change first",
                    listOf(head(3), timedOut, absent, head(4), stored(otherDocument)),
                    ApplyOutcome.Conflict(current = 4),
                ),
                ApplyCase(
                    "the store is unavailable from the start",
                    List(20) { unavailable },
                    ApplyOutcome.Unavailable,
                ),
                ApplyCase(
                    "the store is unavailable after the write",
                    listOf(head(3), applied) + List(18) { unavailable },
                    ApplyOutcome.Unknown,
                ),
            ) { case ->
                val filter = ApplyFilter()
                val started = filter.step(
                    ApplyState(base = 3, ownDocument),
                    ApplyEvent.Start,
                    Duration.ZERO,
                )
                val last = case.answers.fold(started) { step, answer ->
                    filter.step(step.state, ApplyEvent.StoreAnswered(answer), Duration.ZERO)
                }
                (last.actions.single() as? ApplyAction.Finish)?.outcome shouldBe case.outcome
            }
        }
    })
