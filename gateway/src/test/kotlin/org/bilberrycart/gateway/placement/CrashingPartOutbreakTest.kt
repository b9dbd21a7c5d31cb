package org.bilberrycart.gateway.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.model.PartReport
import org.bilberrycart.gateway.model.PromptPartId
import org.bilberrycart.gateway.model.UpstreamId

/**
 * Requests with one prompt part crash each engine that begins to answer them, at all nodes.
 *
 * @property badShare the part of the requests that crash their engine.
 * @property engines how many engines there are; each is back under its id some seconds later.
 * @property isBadFirst whether the part comes before a part that sound requests share.
 * @property doNodesRestart whether one node after the other restarts and forgets all.
 */
private data class OutbreakCase(
    val nodes: Int,
    val badShare: Double,
    val engines: Int,
    val isBadFirst: Boolean = false,
    val doNodesRestart: Boolean = false,
) : WithDataTestName {
    override fun dataTestName(): String = "$nodes nodes, $engines engines, $badShare bad, " +
        "first $isBadFirst, restarts $doNodesRestart"
}

private val step = 50.milliseconds
private val end = 40.seconds

/** How long an engine reads a prompt before it begins to answer. */
private val promptTime = 1.5.seconds

/** How long nodes may take to learn of crashes. */
private val contactTime = 3.seconds
private const val REQUESTS_PER_SECOND = 8
private const val ATTEMPTS = 4
private const val GOSSIP_LOSS = 0.1

/** A prompt at an engine, whose answer begins [beginsAt] unless the node cancels it before. */
private data class Reading(
    val node: Int,
    val engine: Int,
    val beginsAt: Duration,
    val isBad: Boolean,
    val parts: List<PromptPartId>,
    val attempt: Int,
)

private class Outbreak(private val case: OutbreakCase, seed: Int) {
    private val random = Random(seed)
    private var histories = List(case.nodes) { PartHistory() }
    private var reports = List(case.nodes) { PartReport() }
    private var reading = emptyList<Reading>()
    private var crashTimes = emptyList<Duration>()

    /** How many bad requests reached engines after all nodes must have known of the part. */
    var lateArrivals = 0
        private set

    /** How many sound requests were refused. */
    var refusedSound = 0
        private set

    fun run(): Outbreak = apply {
        generateSequence(Duration.ZERO) { it + step }.takeWhile { it < end }.forEach(::advance)
    }

    private fun advance(now: Duration) {
        if (random.nextDouble() < REQUESTS_PER_SECOND * (step / 1.seconds)) arrive(now)
        val (due, left) = reading.partition { it.beginsAt <= now }
        reading = left
        due.forEach { begin(it, now) }
        if (now.inWholeMilliseconds % gossipInterval.inWholeMilliseconds <
            step.inWholeMilliseconds
        ) {
            gossip(now)
        }
        if (case.doNodesRestart && now.inWholeMilliseconds % 4000 == 0L) {
            update((now.inWholeSeconds / 4).toInt() % case.nodes) { PartHistory() }
        }
    }

    private val gossipInterval = 14.milliseconds * maxOf(case.nodes, 4)

    private fun arrive(now: Duration) {
        val subject = PromptPartId("s${random.nextInt(5)}")
        val isBad = random.nextDouble() < case.badShare && now > 5.seconds
        val bad = PromptPartId("bad")
        val parts = when {
            !isBad -> listOf(subject)
            case.isBadFirst -> listOf(bad, subject)
            else -> listOf(subject, bad)
        }
        send(random.nextInt(case.nodes), isBad, parts, attempt = 1, now)
    }

    private fun send(
        node: Int,
        isBad: Boolean,
        parts: List<PromptPartId>,
        attempt: Int,
        now: Duration,
    ) {
        val isBlocked = histories[node].blockedAmong(parts, now) != null
        if (isBlocked && !isBad) refusedSound++
        if (isBlocked || attempt > ATTEMPTS) return
        val knownAt = crashTimes.getOrNull(4)?.plus(contactTime)
        if (isBad && knownAt != null && now > knownAt) lateArrivals++
        reading = reading +
            Reading(node, random.nextInt(case.engines), now + promptTime, isBad, parts, attempt)
    }

    private fun begin(call: Reading, now: Duration) {
        if (histories[call.node].blockedAmong(call.parts, now) != null) return
        if (!call.isBad) {
            update(call.node) { it.withAnswer(call.parts, now) }
            return
        }
        crashTimes = crashTimes + now
        val (lost, left) = reading.partition { it.engine == call.engine }
        reading = left
        val parts = call.parts.toPersistentList()
        update(call.node) { it.withCrash(UpstreamId("e${call.engine}"), parts, now) }
        (lost + call).forEach { send(it.node, it.isBad, it.parts, it.attempt + 1, now) }
    }

    private fun gossip(now: Duration) {
        histories = histories.mapIndexed { node, history ->
            reports.filterIndexed { i, _ -> i != node && random.nextDouble() > GOSSIP_LOSS }
                .fold(history) { merged, report -> merged.withReport(report, now) }
        }
        reports = histories.map { it.toReport(now) }
    }

    private fun update(node: Int, change: (PartHistory) -> PartHistory) {
        histories =
            histories.mapIndexed { i, history -> if (i == node) change(history) else history }
    }
}

class CrashingPartOutbreakTest :
    FunSpec({
        // Guards against requests that crash one engine after the other by a part they share.
        context("a part that crashes engines is blocked everywhere, and only that part") {
            withData(
                listOf(1, 4, 39).flatMap { nodes ->
                    listOf(0.05, 0.25, 0.9).flatMap { share ->
                        listOf(3, 25).map { OutbreakCase(nodes, share, engines = it) }
                    }
                } + listOf(
                    OutbreakCase(nodes = 4, badShare = 0.25, engines = 25, isBadFirst = true),
                    OutbreakCase(nodes = 4, badShare = 0.25, engines = 25, doNodesRestart = true),
                    OutbreakCase(nodes = 39, badShare = 0.9, engines = 125, doNodesRestart = true),
                ),
            ) { case ->
                persistentListOf(1, 2, 3, 4, 5).forEach { seed ->
                    val outbreak = Outbreak(case, seed).run()
                    outbreak.lateArrivals shouldBeLessThanOrEqual 3
                    outbreak.refusedSound shouldBe 0
                }
            }
        }
    })
