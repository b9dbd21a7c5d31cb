package org.bilberrycart.pipeline

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.string.shouldContain
import kotlin.concurrent.thread
import kotlin.reflect.KClass
import org.jetbrains.lincheck.Lincheck
import org.jetbrains.lincheck.LincheckAssertionError
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions
import org.jetbrains.lincheck.datastructures.Options
import org.jetbrains.lincheck.datastructures.StressOptions

private const val INVOCATIONS = 200
private const val WAITER_INVOCATIONS = 50

private data class HistoryCase(val subject: KClass<out RingHistory>) : WithDataTestName {
    override fun dataTestName(): String = "${subject.simpleName}"
}

private data class WaiterCase(val fault: RingFault, val scenario: (FaultyRing) -> Unit) :
    WithDataTestName {
    override fun dataTestName(): String = "$fault"
}

private fun <O : Options<O, *>> O.scenarios(): O = this
    .iterations(0)
    .sequentialSpecification(RingModel::class.java)
    .addCustomScenario {
        parallel {
            thread { actor(RingHistory::offer, 1) }
            thread { actor(RingHistory::offer, 2) }
        }
        post { repeat(2) { actor(RingHistory::take) } }
    }
    .addCustomScenario {
        initial { listOf(1, 2).forEach { actor(RingHistory::offer, it) } }
        parallel {
            thread { actor(RingHistory::offer, 3) }
            thread { actor(RingHistory::take) }
        }
        post { repeat(2) { actor(RingHistory::take) } }
    }
    .addCustomScenario {
        initial { listOf(1, 2).forEach { actor(RingHistory::offer, it) } }
        parallel {
            thread { actor(RingHistory::take) }
            thread { actor(RingHistory::take) }
        }
        post { actor(RingHistory::take) }
    }
    .addCustomScenario {
        parallel {
            thread { listOf(1, 2).forEach { actor(RingHistory::offer, it) } }
            thread { actor(RingHistory::close) }
        }
        post { repeat(2) { actor(RingHistory::take) } }
    }

private fun modelChecking() =
    ModelCheckingOptions().invocationsPerIteration(INVOCATIONS).scenarios()

private fun stress() = StressOptions().invocationsPerIteration(INVOCATIONS).scenarios()

private fun runConcurrently(vararg blocks: () -> Unit) =
    blocks.map { thread { it() } }.forEach { it.join() }

class RingHistoryTest :
    FunSpec({
        test("model checking finds no lost, duplicated or reordered item in a ring") {
            modelChecking().check(RealRingHistory::class)
        }

        test("a stress test finds no lost, duplicated or reordered item in a ring") {
            stress().check(RealRingHistory::class)
        }

        context("model checking finds an injected fault") {
            withData(
                HistoryCase(UnlockedRingHistory::class),
                HistoryCase(OverwritingRingHistory::class),
                HistoryCase(ReorderingRingHistory::class),
            ) { case ->
                val found = shouldThrow<LincheckAssertionError> {
                    modelChecking().check(case.subject)
                }
                found.message shouldContain "Invalid execution results"
            }
        }

        test("closing a ring wakes all consumers that wait for an item") {
            Lincheck.runConcurrentTest(WAITER_INVOCATIONS) {
                val ring = Ring<Int>("test", capacity = 1)
                runConcurrently({ ring.takeAll() }, { ring.takeAll() }, { ring.close() })
            }
        }

        test("closing a ring wakes all producers that wait for room") {
            Lincheck.runConcurrentTest(WAITER_INVOCATIONS) {
                val ring = Ring<Int>("test", capacity = 1)
                ring.put(0)
                runConcurrently({ ring.put(1) }, { ring.put(2) }, { ring.close() })
            }
        }

        test("taking an item wakes a producer that waits for room") {
            Lincheck.runConcurrentTest(WAITER_INVOCATIONS) {
                val ring = Ring<Int>("test", capacity = 1)
                runConcurrently({ repeat(2) { ring.put(it) } }, { repeat(2) { ring.takeAll() } })
            }
        }

        context("a waiter that is never woken is found") {
            withData(
                WaiterCase(RingFault.CLOSE_WAKES_ONE) { ring ->
                    runConcurrently({ ring.take(true) }, { ring.take(true) }, { ring.close() })
                },
                WaiterCase(RingFault.TAKE_WAKES_NONE) { ring ->
                    runConcurrently(
                        { repeat(2) { ring.put(it) } },
                        { repeat(2) { ring.take(true) } },
                    )
                },
            ) { case ->
                val found = shouldThrow<LincheckAssertionError> {
                    Lincheck.runConcurrentTest(WAITER_INVOCATIONS) {
                        case.scenario(FaultyRing(capacity = 1, case.fault))
                    }
                }
                found.message shouldContain "deadlock"
            }
        }
    })
