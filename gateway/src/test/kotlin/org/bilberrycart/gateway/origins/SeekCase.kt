package org.bilberrycart.gateway.origins

import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A caller resumes the stream [sought] at node "b" after [happenings].
 *
 * @property version the version that the node finds.
 */
internal data class SeekCase(
    val name: String,
    val sought: String = "r1",
    val wait: Duration = Duration.ZERO,
    val version: String,
    val happenings: OriginsFleet.() -> Unit,
) : WithDataTestName {
    override fun dataTestName(): String = name

    /** Checks which version the node finds. */
    fun check() {
        val fleet = OriginsFleet()
        happenings(fleet)
        fleet.seek("b", sought, wait) shouldBe version
    }
}

/** Longer than it takes to record streams. */
internal val flushTime = 500.milliseconds

/** Starts two nodes with the version v1 for a while. */
internal fun OriginsFleet.begin() {
    start("a")
    start("b")
    list("v1")
    pass(1.seconds)
}
