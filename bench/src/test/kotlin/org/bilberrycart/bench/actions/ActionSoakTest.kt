package org.bilberrycart.bench.actions

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe

private data class SoakCase(val name: String, val injectedBug: InjectedBug, val isClean: Boolean) :
    WithDataTestName {
    override fun dataTestName(): String = name
}

class ActionSoakTest :
    FunSpec({
        context("the history of randomised runs") {
            withData(
                SoakCase("shows no violation", InjectedBug.NONE, isClean = true),
                SoakCase(
                    "shows a violation if inserts are unconditional",
                    InjectedBug.UNCONDITIONAL_INSERT,
                    isClean = false,
                ),
            ) { case ->
                val soak = ActionSoak(injectedBug = case.injectedBug)
                val violations = (1L..SEEDS).flatMap { soak.run(it).violations }
                violations.isEmpty() shouldBe case.isClean
            }
        }

        test("runs include replies, unknown outcomes, calls in progress and refusals") {
            val answers = (1L..SEEDS).flatMap { ActionSoak().run(it).answers.keys }.toSet()
            answers.containsAll(
                setOf("REPLY", "STORE_UNAVAILABLE", "OUTCOME_UNKNOWN", "IN_PROGRESS"),
            ) shouldBe true
        }
    })

private const val SEEDS = 60L
