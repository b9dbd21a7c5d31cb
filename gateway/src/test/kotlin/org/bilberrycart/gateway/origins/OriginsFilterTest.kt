package org.bilberrycart.gateway.origins

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A caller resumes the stream [sought] at node "b" after [happenings].
 *
 * @property version the version that the node finds.
 */
private data class SeekCase(
    val name: String,
    val sought: String = "r1",
    val wait: Duration = Duration.ZERO,
    val version: String,
    val happenings: OriginsFleet.() -> Unit,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

/** @property version where node "a" begins streams after [happenings]; null for any version. */
private data class LimitCase(
    val name: String,
    val version: String?,
    val happenings: OriginsFleet.() -> Unit,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private val flushTime = 500.milliseconds

/** Starts two nodes with the version v1 for a while. */
private fun OriginsFleet.begin() {
    start("a")
    start("b")
    list("v1")
    pass(1.seconds)
}

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
            ) { case ->
                val fleet = OriginsFleet()
                case.happenings(fleet)
                fleet.seek("b", case.sought, case.wait) shouldBe case.version
            }
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
            ) { case ->
                val fleet = OriginsFleet()
                case.happenings(fleet)
                fleet.seek("b", case.sought, case.wait) shouldBe case.version
            }
        }

        // Guards against a node that takes the version it knows for the only one (ORDER).
        context("a stream that a caller resumes at a node that was out of step") {
            withData(
                SeekCase("and was cut off while a second version came", version = "v2") {
                    begin()
                    cutOff = setOf("b")
                    pass(1.seconds)
                    list("v1", "v2")
                    send("a", "r1", "v2")
                    pass(flushTime)
                },
                SeekCase("and has just been reached again", version = "v2") {
                    begin()
                    cutOff = setOf("b")
                    pass(1.seconds)
                    list("v1", "v2")
                    send("a", "r1", "v2")
                    pass(flushTime)
                    cutOff = emptySet()
                    pass(100.milliseconds)
                },
                SeekCase("and stood still while a second version came", version = "v2") {
                    begin()
                    frozen = setOf("b")
                    list("v1", "v2")
                    send("a", "r1", "v2")
                    pass(2.seconds)
                },
                SeekCase("and has just woken", version = "v2") {
                    begin()
                    frozen = setOf("b")
                    list("v1", "v2")
                    send("a", "r1", "v2")
                    pass(2.seconds)
                    frozen = emptySet()
                    pass(100.milliseconds)
                },
                SeekCase("and only one version serves", version = "v1") {
                    begin()
                    cutOff = setOf("b")
                    send("a", "r1", "v1")
                    pass(1.seconds)
                },
                SeekCase("cut off from the store too", wait = 2.1.seconds, version = "unknown") {
                    begin()
                    cutOff = setOf("b")
                    isStoreAway = true
                    pass(1.seconds)
                },
            ) { case ->
                val fleet = OriginsFleet()
                case.happenings(fleet)
                fleet.seek("b", case.sought, case.wait) shouldBe case.version
            }
        }

        // Guards against streams that no record names, whose version is inferred wrongly (ORDER).
        context("while streams can't be recorded they begin at the version inferred for them") {
            withData(
                LimitCase("beside a second version", version = "v1") {
                    begin()
                    list("v1", "v2")
                    pass(flushTime)
                    isStoreAway = true
                    send("a", "r1", "v2")
                    pass(flushTime * 2)
                },
                LimitCase("but anywhere once the store is back", version = null) {
                    begin()
                    list("v1", "v2")
                    pass(flushTime)
                    isStoreAway = true
                    send("a", "r1", "v2")
                    pass(flushTime * 2)
                    isStoreAway = false
                    pass(flushTime * 4)
                },
                LimitCase("and anywhere while they are recorded", version = null) {
                    begin()
                    list("v1", "v2")
                    repeat(100) {
                        send("a", "r$it", "v2")
                        pass(100.milliseconds)
                    }
                },
                LimitCase("and anywhere if the service has one version", version = null) {
                    begin()
                    isStoreAway = true
                    send("a", "r1", "v1")
                    pass(5.seconds)
                },
            ) { case ->
                OriginsFleet().apply(case.happenings).beginsOnlyAt("a") shouldBe case.version
            }
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
