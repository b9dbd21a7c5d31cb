package org.bilberrycart.gateway.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

private data class BudgetCase(
    val name: String,
    val firstDispatches: Int,
    val retries: Int,
    val at: Int = 0,
    val isAllowed: Boolean,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

class RetryBudgetTest :
    FunSpec({
        withData(
            BudgetCase(
                "the slack allows retries without any first dispatch",
                0,
                1,
                isAllowed = true,
            ),
            BudgetCase("no retry is allowed beyond the slack", 0, 2, isAllowed = false),
            BudgetCase("first dispatches allow retries by the ratio", 10, 6, isAllowed = true),
            BudgetCase("no retry is allowed beyond ratio and slack", 10, 7, isAllowed = false),
            BudgetCase("dispatches within the window count", 10, 6, at = 9, isAllowed = true),
            BudgetCase(
                "older dispatches and retries do not count",
                10,
                7,
                at = 12,
                isAllowed = true,
            ),
        ) { case ->
            val empty = RetryBudget(window = 10.seconds, ratio = 0.5)
            val after = empty.withDispatches(0.seconds, firstDispatches = case.firstDispatches)
                .withDispatches(0.seconds, retries = case.retries)
            after.allows(case.at.seconds, slack = 2.0) shouldBe case.isAllowed
        }

        test("a retry that is taken back does not count") {
            val full = RetryBudget(window = 10.seconds, ratio = 0.5)
                .withDispatches(0.seconds, firstDispatches = 10, retries = 5)
            full.allows(1.seconds, slack = 0.0) shouldBe false
            full.withDispatches(1.seconds, retries = -1).allows(1.seconds, slack = 0.0) shouldBe
                true
        }
    })
