package org.bilberrycart.gateway.origins

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** @property version where node "a" begins streams after [happenings]; null for any version. */
private data class LimitCase(
    val name: String,
    val version: String?,
    val happenings: OriginsFleet.() -> Unit,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

class OriginsOutageTest :
    FunSpec({
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
            ) { it.check() }
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
    })
