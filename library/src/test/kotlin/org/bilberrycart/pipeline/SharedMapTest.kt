package org.bilberrycart.pipeline

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val THREADS = 4
private const val KEYS = 2_000

class SharedMapTest :
    FunSpec({
        context("a value is there from when it is set until it is removed") {
            withData(
                nameFn = { (steps, _) -> steps.ifEmpty { "nothing" } },
                "" to null,
                "set 1" to 1,
                "set 1, set 2" to 2,
                "set 1, remove" to null,
                "remove, set 1" to 1,
            ) { (steps, value) ->
                val map = SharedMap<String, Int>()
                steps.split(", ").filter { it.isNotEmpty() }.forEach { step ->
                    if (step ==
                        "remove"
                    ) {
                        map.remove("k")
                    } else {
                        map["k"] = step.substringAfter(' ').toInt()
                    }
                }
                map["k"] shouldBe value
                map.current.size shouldBe listOfNotNull(value).size
            }
        }

        // Guards against an answer that two threads send, since both removed its exchange.
        test("of several threads that remove a value, one gets it") {
            val map = SharedMap<Int, Int>()
            repeat(KEYS) { map[it] = it }
            val got = AtomicInteger()
            val threads = List(THREADS) {
                thread {
                    repeat(KEYS) { key ->
                        if (map.remove(key) !=
                            null
                        ) {
                            got.incrementAndGet()
                        }
                    }
                }
            }
            threads.forEach { it.join() }
            got.get() shouldBe KEYS
        }
    })
