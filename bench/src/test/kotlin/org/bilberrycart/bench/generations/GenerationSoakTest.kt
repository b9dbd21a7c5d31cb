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

private data class InjectedBugCase(val injectedBug: InjectedBug, val seeds: LongRange) :
    WithDataTestName {
    override fun dataTestName() = injectedBug.toString()
}

private val FAULT_TIMES = listOf(1_100.milliseconds, 2.seconds, 4.seconds)

private val SINGLE_FAULTS = Role.entries.filter { it != Role.BOTH }.flatMap { role ->
    Kind.entries.flatMap { kind -> FAULT_TIMES.map { FaultCase(role, kind, it) } }
}

class GenerationSoakTest :
    FunSpec({
        context("a released token never changes") {
            withData(
                SeedCase("six random faults", SoakPlan(), 1L..150L),
                SeedCase(
                    "one random fault loses no answer that has begun",
                    SoakPlan(faults = 1),
                    1L..150L,
                ),
                SeedCase(
                    "one random fault without lost messages loses no answer",
                    SoakPlan(faults = 1, loss = 0.0),
                    1L..150L,
                ),
                SeedCase(
                    "a fleet of two nodes",
                    SoakPlan(nodes = 2, dataCentres = 2),
                    1L..100L,
                ),
                SeedCase("many lost messages", SoakPlan(loss = 0.2), 1L..100L),
                SeedCase("many lost table writes and replies", SoakPlan(tableLoss = 0.4), 1L..100L),
            ) { case ->
                val report = GenerationSoak(case.plan).run(case.seeds)
                report.failedSeeds.shouldBeEmpty()
                report.tokens shouldBeGreaterThan 0
            }
        }

        context("a single fault loses no answer, whenever it begins") {
            withData(SINGLE_FAULTS) { case ->
                val script = listOf(ScriptedFault(case.at, case.role, case.kind))
                val plan = SoakPlan(generations = 1, faults = 0, script = script)
                val results = (1L..10L).map { SoakRun(it, plan).run() }
                results.forEach { it.violation.shouldBeNull() }
                results.sumOf { it.faults }.toLong() shouldBeGreaterThan 0
                results.map { it.whole }.toSet() shouldBe setOf(1)
            }
        }

        context(
            "if the owner and the holder of a generation die, its caller gets a numbered refusal",
        ) {
            withData(FAULT_TIMES.map { FaultCase(Role.BOTH, Kind.KILL, it) }) { case ->
                val script = List(2) { ScriptedFault(case.at, case.role, case.kind) }
                val plan = SoakPlan(generations = 1, faults = 0, loss = 0.0, script = script)
                val results = (1L..10L).map { SoakRun(it, plan).run() }
                results.forEach { it.violation.shouldBeNull() }
                results.map { it.refused }.toSet() shouldContain 1
            }
        }

        context("the checks detect an injected bug") {
            withData(
                InjectedBugCase(InjectedBug.NoFence, 1L..200L),
                InjectedBugCase(InjectedBug.ForgetfulTable, 1L..300L),
            ) { case ->
                val plan = SoakPlan(injectedBug = case.injectedBug)
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
