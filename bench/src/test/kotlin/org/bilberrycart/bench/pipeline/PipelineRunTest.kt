package org.bilberrycart.bench.pipeline

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.dispatch.DispatchAction
import org.bilberrycart.dispatch.DispatchFilter
import org.bilberrycart.journal.JournalAction
import org.bilberrycart.journal.JournalFilter
import org.bilberrycart.model.Token
import org.bilberrycart.node.PipelineFilters
import org.bilberrycart.pipeline.Step

private data class InjectedBug(val name: String, val filters: PipelineFilters) :
    WithDataTestName {
    override fun dataTestName(): String = name
}

private val journalFilter = JournalFilter()

/** Returns filters whose journal replaces each of its actions by the result of [change]. */
private fun journalWith(change: (JournalAction) -> List<JournalAction>) = PipelineFilters(
    journal = { state, event, now ->
        val step = journalFilter.step(state, event, now)
        Step(step.state, step.actions.flatMap(change).toPersistentList())
    },
)

/** Returns filters whose dispatch drops the actions that [isDropped] selects. */
private fun dispatchWithout(isDropped: (DispatchAction) -> Boolean) = PipelineFilters(
    dispatch = { state, event, now ->
        val step = DispatchFilter().step(state, event, now)
        Step(step.state, step.actions.removeAll(isDropped))
    },
)

class PipelineRunTest :
    FunSpec({
        val seeds = 1L..12L

        test("faults of engines and callers cause no violation") {
            val report = PipelineSoak.run(seeds)
            report.violations.shouldBeEmpty()
            report.seeds shouldBe seeds.count()
        }

        test("the same seed gives the same run") {
            PipelineRun(seed = 3).run() shouldBe PipelineRun(seed = 3).run()
        }

        context("the run finds an injected bug") {
            withData(
                InjectedBug(
                    name = "a journal that appends each token twice",
                    filters = journalWith {
                        if (it is JournalAction.Append) listOf(it, it) else listOf(it)
                    },
                ),
                InjectedBug(
                    name = "a journal that appends stray tokens",
                    filters = journalWith {
                        when (it) {
                            is JournalAction.CountStray -> listOf(
                                JournalAction.Append(
                                    it.attempt.request,
                                    it.attempt.epoch,
                                    Token(it.index, "stray"),
                                ),
                            )
                            else -> listOf(it)
                        }
                    },
                ),
                InjectedBug(
                    name = "a journal that does not resume",
                    filters = journalWith {
                        if (it is JournalAction.Resume) emptyList() else listOf(it)
                    },
                ),
                InjectedBug(
                    name = "a journal that resumes without its tokens as the prefix",
                    filters = journalWith {
                        when (it) {
                            is JournalAction.Resume -> listOf(
                                it.copy(
                                    placement = it.placement.copy(prefix = persistentListOf()),
                                ),
                            )
                            else -> listOf(it)
                        }
                    },
                ),
                InjectedBug(
                    name = "a journal that does not report the end of attempts",
                    filters = journalWith {
                        if (it is JournalAction.ReportOutcome) emptyList() else listOf(it)
                    },
                ),
                InjectedBug(
                    name = "a dispatch that does not stop cancelled attempts",
                    filters = dispatchWithout { it is DispatchAction.Abort },
                ),
            ) { bug ->
                seeds.flatMap { PipelineRun(it, filters = bug.filters).run().violations }
                    .shouldNotBeEmpty()
            }
        }
    })
