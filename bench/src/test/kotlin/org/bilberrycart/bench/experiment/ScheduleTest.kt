package org.bilberrycart.bench.experiment

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import java.nio.file.Path
import kotlin.io.path.extension
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.nameWithoutExtension
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.bench.traffic.TrafficClass
import org.bilberrycart.model.RequestClass
import org.bilberrycart.standins.engine.EngineFault
import org.bilberrycart.standins.engine.EngineSettings

private val experiment = Experiment(
    name = "schedule",
    question = "?",
    seed = 3,
    durationSeconds = 100.0,
    dataCentres = listOf("a", "b", "c"),
    engines = 9,
    engine = EngineSettings(),
    ratePerSecond = 1.0,
    organisations = mapOf("o" to 1.0),
    classes = listOf(TrafficClass(RequestClass.CHECK, share = 1.0, medianTokens = 1)),
    policies = listOf(PolicyPlan("baseline")),
)

private data class FaultCase(
    val name: String,
    val plan: FaultPlan,
    val losses: Map<Int, Int>,
    val isRestored: Boolean = true,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

class ScheduleTest :
    FunSpec({
        context("the seconds of the losses, and whether each lost engine is restored:") {
            withData(
                FaultCase(
                    "one engine crashes each 60 s",
                    FaultPlan.OneEngineDies(everySeconds = 60.0, awaySeconds = 20.0),
                    losses = mapOf(30 to 1, 90 to 1),
                ),
                FaultCase(
                    "connections go silent each 40 s",
                    FaultPlan.OneEngineSilent(everySeconds = 40.0),
                    losses = mapOf(20 to 1, 60 to 1),
                    isRestored = false,
                ),
                FaultCase(
                    "a third of the engines crashes at once",
                    FaultPlan.ShareDies(atSeconds = 40.0, share = 0.34, awaySeconds = 30.0),
                    losses = mapOf(40 to 3),
                ),
                FaultCase(
                    "a data centre hangs",
                    FaultPlan.DataCentreHangs("b", atSeconds = 40.0, awaySeconds = 30.0),
                    losses = mapOf(40 to 3),
                ),
            ) { case ->
                val schedule = experiment.copy(faults = listOf(case.plan)).schedule()
                val lost = schedule.filter { it.isLoss }
                lost.groupingBy { it.at.inWholeSeconds.toInt() }.eachCount() shouldBe case.losses
                val restorations = schedule.filterNot { it.isLoss }
                val expected = if (case.isRestored) lost.map { it.engine } else emptyList()
                restorations.map { it.engine } shouldBe expected
            }
        }

        test("a data centre that hangs pauses only its own engines") {
            val plan = FaultPlan.DataCentreHangs("b", atSeconds = 1.0, awaySeconds = 1.0)
            val schedule = experiment.copy(faults = listOf(plan)).schedule()
            schedule shouldBe listOf(1, 4, 7).map {
                PlannedFault(1.seconds, it, EngineFault.Pause)
            } + listOf(1, 4, 7).map { PlannedFault(2.seconds, it, EngineFault.Resume) }
        }

        test("every committed experiment can be read and is named as its file") {
            val files = Path.of("../experiments").listDirectoryEntries()
                .filter { it.extension == "json" }
            files.map { Experiment.read(it).name }.sorted() shouldBe
                files.map { it.nameWithoutExtension }.sorted()
        }
    })
