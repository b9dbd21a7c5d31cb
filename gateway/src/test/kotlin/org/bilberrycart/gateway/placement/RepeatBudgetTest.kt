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
            val after = List(case.firsts) { false }.plus(List(case.repeats) { true })
                .fold(empty) { budget, isRepeat -> budget.counted(0.seconds, isRepeat) }
            after.allows(case.at.seconds, slack = 2.0) shouldBe case.isAllowed
        }
    })
