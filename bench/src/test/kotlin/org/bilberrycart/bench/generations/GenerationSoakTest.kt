package org.bilberrycart.bench.generations

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.bench.generations.ScriptedFault.Kind
import org.bilberrycart.bench.generations.ScriptedFault.Role

private data class SeedCase(val name: String, val plan: SoakPlan, val seeds: LongRange) :
    WithDataTestName {
    override fun dataTestName() = name
}

private data class FaultCase(val role: Role, val kind: Kind, val at: Duration) : WithDataTestName {
    override fun dataTestName() = "$kind of $role at $at"
}

private data class PlantedCase(val planted: PlantedFault, val seeds: LongRange) :
    WithDataTestName {
    override fun dataTestName() = planted.toString()
}

private val MOMENTS = listOf(1_100.milliseconds, 2.seconds, 4.seconds)

private val SINGLE_FAULTS = Role.entries.filter { it != Role.BOTH }.flatMap { role ->
    Kind.entries.flatMap { kind -> MOMENTS.map { FaultCase(role, kind, it) } }
}

class GenerationSoakTest :
    FunSpec({
        context("no released token is ever contradicted") {
            withData(
                SeedCase("six random faults", SoakPlan(), 1L..150L),
                SeedCase("one random fault costs no begun answer", SoakPlan(faults = 1), 1L..150L),
                SeedCase(
                    "one random fault without lost messages costs no answer",
                    SoakPlan(faults = 1, loss = 0.0),
                    1L..150L,
                ),
                SeedCase(
                    "two nodes only",
                    SoakPlan(nodes = 2, dataCentres = 2),
                    1L..100L,
                ),
                SeedCase("many lost messages", SoakPlan(loss = 0.2), 1L..100L),
                SeedCase("the table often fails", SoakPlan(tableLoss = 0.4), 1L..100L),
            ) { case ->
                val report = GenerationSoak(case.plan).run(case.seeds)
                report.failedSeeds.shouldBeEmpty()
                report.tokens shouldBeGreaterThan 0
            }
        }

        context("one fault costs no answer, whenever it strikes") {
            withData(SINGLE_FAULTS) { case ->
                val script = listOf(ScriptedFault(case.at, case.role, case.kind))
                val plan = SoakPlan(generations = 1, faults = 0, script = script)
                val results = (1L..10L).map { SoakRun(it, plan).run() }
                results.forEach { it.violation.shouldBeNull() }
                results.sumOf { it.faults }.toLong() shouldBeGreaterThan 0
                results.map { it.whole }.toSet() shouldBe setOf(1)
            }
        }

        context("when both nodes of a generation die, its caller gets a numbered refusal") {
            withData(MOMENTS.map { FaultCase(Role.BOTH, Kind.KILL, it) }) { case ->
                val script = List(2) { ScriptedFault(case.at, case.role, case.kind) }
                val plan = SoakPlan(generations = 1, faults = 0, loss = 0.0, script = script)
                val results = (1L..10L).map { SoakRun(it, plan).run() }
                results.forEach { it.violation.shouldBeNull() }
                results.map { it.refused }.toSet() shouldContain 1
            }
        }

        context("the check finds a fault put in on purpose") {
            withData(
                PlantedCase(PlantedFault.NoFence, 1L..200L),
                PlantedCase(PlantedFault.ForgetfulTable, 1L..300L),
            ) { case ->
                val plan = SoakPlan(planted = case.planted)
                val report = GenerationSoak(plan).run(case.seeds)
                report.violations shouldBeGreaterThan 0
                val seed = report.failedSeeds.first()
                val violation = checkNotNull(SoakRun(seed, plan).run().violation)
                val traced = SoakRun(seed, plan, traced = violation.request).run()
                traced.violation shouldBe violation
                traced.trace.any { "VIOLATION" in it } shouldBe true
            }
        }
    })
