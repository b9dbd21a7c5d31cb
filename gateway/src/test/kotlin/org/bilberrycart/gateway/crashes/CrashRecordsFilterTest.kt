package org.bilberrycart.gateway.crashes

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.KnownCrashes
import org.bilberrycart.gateway.model.PartReport
import org.bilberrycart.gateway.records.Record
import org.bilberrycart.gateway.records.RecordReply

private val crashed = KnownCrashes(
    calls = mapOf(5L to setOf("1/1/u0", "1/1/u1")),
    parts = PartReport(blockedAges = mapOf("bad" to 100)),
)

/** Processes that share the records of a store, in virtual time. */
private class CrashRecordsRun {
    private val filter = CrashRecordsFilter()
    private val states = mutableMapOf<String, CrashRecordsState>()
    private val found = mutableMapOf<String, List<KnownCrashes>>()
    private val known = mutableMapOf<String, KnownCrashes>()
    private var records = emptyMap<String, Record>()
    private var now = Duration.ZERO

    /** Whether a node isn't heard. */
    var isPeerMissing = false

    /** Whether each call of the store fails. */
    var isStoreAway = false

    /** How often the store was called. */
    var calls = 0
        private set

    fun start(process: String) {
        states[process] = CrashRecordsState(process)
    }

    /** Lets [process] see crashes. */
    fun crash(process: String) {
        known[process] = crashed
    }

    /** Lets [process] see that its crashes have been cleared by answers. */
    fun clear(process: String) {
        known.remove(process)
    }

    fun killAll() = states.clear()

    fun pass(time: Duration) {
        val end = now + time
        while (now < end) {
            now += TICK
            states.keys.toList().forEach {
                val event = CrashRecordsEvent.Tick(known[it] ?: KnownCrashes(), isPeerMissing)
                handle(it, event)
            }
        }
    }

    /** Returns what [process] was last told, by content and the age of the blocked part. */
    fun told(process: String): List<String> = found[process].orEmpty().map { known ->
        "${known.calls.keys} ${known.parts.blockedAges.mapValues { it.value / MILLIS }}"
    }

    /** Returns the processes that have a record. */
    fun recorded(): Set<String> = records.keys

    private fun handle(process: String, event: CrashRecordsEvent) {
        val step = filter.step(states.getValue(process), event, now)
        states[process] = step.state
        step.actions.forEach { execute(process, it) }
    }

    private fun execute(process: String, action: CrashRecordsAction) = when (action) {
        is CrashRecordsAction.Found -> found[process] = action.known
        is CrashRecordsAction.Read -> {
            val page = RecordReply.Page(records.values.toPersistentList(), millis(), next = null)
            handle(process, CrashRecordsEvent.ReadReplied(action.call, reply(page)))
        }
        is CrashRecordsAction.Write -> {
            if (!isStoreAway) {
                records = records - action.removals.toSet() + (action.record.key to action.record)
            }
            val written = RecordReply.Written(millis())
            handle(process, CrashRecordsEvent.WriteReplied(action.call, reply(written)))
        }
    }

    private fun reply(reply: RecordReply): RecordReply {
        calls++
        return if (isStoreAway) RecordReply.Failed("away") else reply
    }

    private fun millis() = CLOCK_AHEAD + now.inWholeMilliseconds

    private companion object {
        val TICK = 100.milliseconds
        const val CLOCK_AHEAD = 1_000_000L
        const val MILLIS = 1_000
    }
}

/** @property told what the process "b" was told in the end. */
private data class RecallCase(
    val name: String,
    val told: List<String>,
    val happenings: CrashRecordsRun.() -> Unit,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

class CrashRecordsFilterTest :
    FunSpec({
        // Guards against calls that crash upstreams anew once all nodes were killed (BUDGET).
        context("a process learns what others recorded") {
            withData(
                RecallCase("and were killed", listOf("[5] {bad=4}")) {
                    start("a")
                    crash("a")
                    pass(1.seconds)
                    killAll()
                    pass(3.seconds)
                    start("b")
                    pass(1.seconds)
                },
                RecallCase("that it doesn't hear", listOf("[5] {bad=0}")) {
                    start("a")
                    start("b")
                    pass(1.seconds)
                    isPeerMissing = true
                    crash("a")
                    pass(2.seconds)
                },
                RecallCase("while the store was away for a moment", listOf("[5] {bad=3}")) {
                    start("a")
                    pass(1.seconds)
                    crash("a")
                    isStoreAway = true
                    pass(2.seconds)
                    isStoreAway = false
                    pass(1.seconds)
                    isStoreAway = true
                    start("b")
                    pass(2.seconds)
                    isStoreAway = false
                    pass(1.seconds)
                },
                RecallCase("but nothing that has been cleared", listOf("[] {}")) {
                    start("a")
                    crash("a")
                    pass(1.seconds)
                    clear("a")
                    pass(1.seconds)
                    killAll()
                    start("b")
                    pass(1.seconds)
                },
                RecallCase("but not after ten minutes", told = emptyList()) {
                    start("a")
                    crash("a")
                    pass(1.seconds)
                    killAll()
                    pass(10.minutes)
                    start("b")
                    pass(1.seconds)
                },
                RecallCase("and forgets it after ten minutes", told = emptyList()) {
                    start("a")
                    crash("a")
                    pass(1.seconds)
                    killAll()
                    start("b")
                    pass(11.minutes)
                },
                RecallCase("only once they have crashes", told = emptyList()) {
                    start("a")
                    start("b")
                    pass(10.seconds)
                },
            ) { case ->
                val run = CrashRecordsRun().apply(case.happenings)
                run.told("b") shouldBe case.told
            }
        }

        test("a node without crashes calls the store once") {
            val run = CrashRecordsRun().apply { start("a") }
            run.pass(10.minutes)
            run.calls shouldBe 1
        }

        // Guards against calls of the store, which all nodes pay for, once a node has left.
        test("a node that misses another one for long reads less often") {
            val run = CrashRecordsRun().apply { start("a") }
            run.isPeerMissing = true
            run.pass(1.minutes)
            val first = run.calls
            run.pass(10.minutes)
            (first in 35..45) shouldBe true
            (run.calls - first in 25..35) shouldBe true
        }

        test("records that nobody needs any more are removed") {
            val run = CrashRecordsRun().apply {
                start("a")
                crash("a")
                pass(1.seconds)
                killAll()
                pass(10.minutes)
                start("b")
                crash("b")
                pass(1.seconds)
            }
            run.recorded() shouldBe setOf("b")
        }
    })
