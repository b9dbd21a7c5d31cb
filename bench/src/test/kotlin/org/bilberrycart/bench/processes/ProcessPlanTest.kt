package org.bilberrycart.bench.processes

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlin.time.Duration.Companion.minutes

class ProcessPlanTest :
    FunSpec({
        context(
            "a schedule of ten minutes has all kinds of faults and is reproducible for the seed",
        ) {
            withData(1L, 7L, 42L) { seed ->
                val plan = ProcessPlan(seed, 10.minutes)
                val schedule = plan.schedule()
                schedule shouldBe plan.schedule()
                schedule shouldNotBe ProcessPlan(seed + 1, 10.minutes).schedule()
                schedule shouldBe schedule.sortedBy { it.at }
                schedule.filterIsInstance<Scheduled.Fault>().map { it.fault.name } shouldContainAll
                    listOf(
                        "killNode",
                        "killEngine",
                        "pauseNode",
                        "pauseEngine",
                        "silenceEngine",
                        "loseAnswers",
                        "platform",
                    )
            }
        }
    })
