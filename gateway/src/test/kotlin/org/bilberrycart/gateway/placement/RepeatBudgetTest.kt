package org.bilberrycart.gateway.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

private data class BudgetCase(
    val name: String,
    val firsts: Int,
    val repeats: Int,
    val at: Int = 0,
    val isAllowed: Boolean,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

class RepeatBudgetTest :
    FunSpec({
        withData(
            BudgetCase("the slack is there without calls", 0, 1, isAllowed = true),
            BudgetCase("and ends", 0, 2, isAllowed = false),
            BudgetCase("calls allow repeats by the ratio", 10, 6, isAllowed = true),
            BudgetCase("and no more", 10, 7, isAllowed = false),
            BudgetCase("calls of the window count", 10, 6, at = 9, isAllowed = true),
            BudgetCase("older calls and repeats do not", 10, 7, at = 12, isAllowed = true),
        ) { case ->
            val empty = RepeatBudget(window = 10.seconds, ratio = 0.5)
            val after = empty.counted(0.seconds, firsts = case.firsts)
                .counted(0.seconds, repeats = case.repeats)
            after.allows(case.at.seconds, slack = 2.0) shouldBe case.isAllowed
        }

        test("a repeat that is taken back does not count") {
            val full = RepeatBudget(window = 10.seconds, ratio = 0.5)
                .counted(0.seconds, firsts = 10, repeats = 5)
            full.allows(1.seconds, slack = 0.0) shouldBe false
            full.counted(1.seconds, repeats = -1).allows(1.seconds, slack = 0.0) shouldBe true
        }
    })
