package org.bilberrycart.gateway.origins

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private fun OriginsFleet.restartAll(vararg versions: String) {
    killAll()
    pass(2.seconds)
    start("a")
    start("b")
    list(*versions)
    pass(1.seconds)
}

class OriginsFilterTest :
    FunSpec({
        // Guards against callers' next tries that go on at another software version (ORDER).
        context("a stream that a caller resumes at another node") {
            withData(
                SeekCase("of a service with one version", version = "v1") {
                    begin()
                    send("a", "r1", "v1")
                },
                SeekCase("was sent to the newer version", version = "v2") {
                    begin()
                    list("v1", "v2")
                    send("a", "r1", "v2")
                    pass(flushTime)
                },
                SeekCase("was sent to another version than at first", version = "v1") {
                    begin()
                    list("v1", "v2")
                    send("a", "r1", "v2")
                    pass(flushTime)
                    send("a", "r1", "v1")
                    pass(flushTime)
                },
                SeekCase("was sent before the second version came", version = "v1") {
                    begin()
                    send("a", "r1", "v1")
                    list("v1", "v2")
                    pass(flushTime)
                },
                SeekCase("ended before the second version came", "r0", version = "v1") {
                    begin()
                    list("v1", "v2")
                    pass(flushTime)
                },
                SeekCase("began at a version that has left", version = "v1") {
                    begin()
                    list("v1", "v2")
                    send("a", "r1", "v1")
                    pass(flushTime)
                    list("v2")
                    pass(5.seconds)
                },
                SeekCase("began at the second of three versions", version = "v2") {
                    begin()
                    list("v1", "v2")
                    pass(5.seconds)
                    list("v2")
                    pass(10.seconds)
                    send("a", "r1", "v2")
                    list("v2", "v3")
                    pass(flushTime)
                    list("v3")
                    pass(flushTime)
                },
                SeekCase(
                    "has no record long after the second version came",
                    "r0",
                    version = "unknown",
                ) {
                    begin()
                    list("v1", "v2")
                    pass(41.seconds)
                },
                SeekCase("has a new id, long after the old version left", "r0", version = "v2") {
                    begin()
                    list("v1", "v2")
                    pass(5.seconds)
                    list("v2")
                    pass(41.seconds)
                },
                SeekCase(
                    "can't be known while the store is away",
                    wait = 2.1.seconds,
                    version = "unknown",
                ) {
                    begin()
                    list("v1", "v2")
                    send("a", "r1", "v2")
                    pass(flushTime)
                    isStoreAway = true
                },
                SeekCase("waits for the store", wait = 1.seconds, version = "none yet") {
                    begin()
                    list("v1", "v2")
                    pass(flushTime)
                    isStoreAway = true
                },
            ) { it.check() }
        }

        // Guards against streams that are joined after all nodes were killed at once (ORDER).
        context("a stream that a caller resumes after all nodes were killed") {
            withData(
                SeekCase("at its version beside another one", version = "v1") {
                    begin()
                    list("v1", "v2")
                    send("a", "r1", "v1")
                    pass(flushTime)
                    restartAll("v1", "v2")
                },
                SeekCase("whose version has left meanwhile", version = "v1") {
                    begin()
                    send("a", "r1", "v1")
                    list("v1", "v2")
                    pass(flushTime)
                    restartAll("v2")
                },
                SeekCase("that ended before the second version came", "r0", version = "v1") {
                    begin()
                    list("v1", "v2")
                    pass(flushTime)
                    restartAll("v2")
                },
                SeekCase("that began after the old version had left", version = "v2") {
                    begin()
                    list("v1", "v2")
                    pass(flushTime)
                    list("v2")
                    pass(5.seconds)
                    send("a", "r1", "v2")
                    pass(flushTime)
                    restartAll("v2")
                },
                SeekCase("long after the second version came", "r0", version = "unknown") {
                    begin()
                    list("v1", "v2")
                    pass(41.seconds)
                    restartAll("v1", "v2")
                },
                SeekCase("twice", version = "v1") {
                    begin()
                    list("v1", "v2")
                    send("a", "r1", "v1")
                    pass(flushTime)
                    restartAll("v1", "v2")
                    restartAll("v2")
                },
                SeekCase("of a fleet that began with two versions", "r0", version = "unknown") {
                    start("a")
                    start("b")
                    list("v1", "v2")
                    pass(flushTime)
                    restartAll("v1", "v2")
                },
            ) { it.check() }
        }

        // Guards against calls of the store, which all nodes pay for, where nothing is unknown.
        test("a service with one version costs one call a node, however many streams it has") {
            val fleet = OriginsFleet()
            fleet.begin()
            repeat(100) {
                fleet.send("a", "r$it", "v1")
                fleet.seek("b", "r$it")
                fleet.pass(100.milliseconds)
            }
            fleet.calls shouldBe 2
        }

        test("records are written a few times a second, whatever the number of streams") {
            val fleet = OriginsFleet()
            fleet.begin()
            fleet.list("v1", "v2")
            repeat(200) {
                fleet.send("a", "r$it", "v2")
                fleet.pass(20.milliseconds)
            }
            fleet.calls shouldBeLessThan 25
        }
    })
