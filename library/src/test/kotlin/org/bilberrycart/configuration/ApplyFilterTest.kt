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

private val mine = ConfigurationDocument(4, "mine", "a", "today", "{}")
private val theirs = mine.copy(publication = "theirs")

private fun head(version: Long) =
    StoreResult.Found(Row(ConfigurationStore.headKey, """{"version":$version}""", version))

private fun stored(document: ConfigurationDocument) = StoreResult.Found(
    Row(ConfigurationStore.documentKey(4), Json.encodeToString(document), version = 9),
)

private val applied = StoreResult.Applied(version = 9)
private val conflict = StoreResult.Conflict(ConfigurationStore.headKey, row = null)
private val lost = StoreResult.UnknownOutcome(StoreFailure.TIMED_OUT)
private val down = StoreResult.Unavailable(StoreFailure.REFUSED)
private val absent = StoreResult.Found(row = null)

class ApplyFilterTest :
    FunSpec({
        context("a change is accepted only when it is read back") {
            withData(
                ApplyCase("written, not read back", listOf(head(3), applied), outcome = null),
                ApplyCase(
                    "written and read back",
                    listOf(head(3), applied, stored(mine)),
                    ApplyOutcome.Accepted(version = 4),
                ),
                ApplyCase(
                    "the answer is lost, the write had its effect",
                    listOf(head(3), lost, stored(mine)),
                    ApplyOutcome.Accepted(version = 4),
                ),
                ApplyCase(
                    "the answer is lost, the write had no effect: written again",
                    listOf(head(3), lost, absent, head(3), applied, stored(mine)),
                    ApplyOutcome.Accepted(version = 4),
                ),
                ApplyCase(
                    "the base is not the newest",
                    listOf(head(5)),
                    ApplyOutcome.Conflict(current = 5),
                ),
                ApplyCase(
                    "another operator was faster",
                    listOf(head(3), conflict, stored(theirs)),
                    ApplyOutcome.Conflict(current = 4),
                ),
                ApplyCase(
                    "the answer is lost, then another operator was faster",
                    listOf(head(3), lost, absent, head(4), stored(theirs)),
                    ApplyOutcome.Conflict(current = 4),
                ),
                ApplyCase(
                    "the store is down from the start",
                    List(20) { down },
                    ApplyOutcome.Unavailable,
                ),
                ApplyCase(
                    "the store is down after the write",
                    listOf(head(3), applied) + List(18) { down },
                    ApplyOutcome.Unknown,
                ),
            ) { case ->
                val filter = ApplyFilter()
                val begun = filter.step(ApplyState(base = 3, mine), ApplyEvent.Begin, Duration.ZERO)
                val end = case.answers.fold(begun) { step, answer ->
                    filter.step(step.state, ApplyEvent.StoreAnswered(answer), Duration.ZERO)
                }
                (end.actions.single() as? ApplyAction.Finish)?.outcome shouldBe case.outcome
            }
        }
    })
