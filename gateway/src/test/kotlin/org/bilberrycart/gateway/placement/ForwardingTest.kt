package org.bilberrycart.gateway.placement

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.Samples
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.model.UpstreamId
import org.bilberrycart.gateway.placement.PlacementRun.Companion.attempt

/**
 * A call whose attempts find no connection, one after the other.
 *
 * @property peers the other nodes, with a "-" if they reach no upstream either.
 * @property connectTime how long each attempt waits for its connection.
 * @property earlierArrivals set if the call comes from another node.
 * @property sends where it is sent, "upstream" for any of them.
 */
private data class UnsentCase(
    val name: String,
    val peers: List<String> = listOf("n1:80"),
    val rule: RetryRule = RetryRule.Idempotent,
    val connectTime: Duration = Duration.ZERO,
    val earlierArrivals: Int? = null,
    val sends: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

/**
 * A stream is sent to a node in place of an upstream, and is lost there.
 *
 * @property hasBegun whether an event came.
 * @property actions what the loss leads to.
 */
private data class LostForwardCase(
    val name: String,
    val hasBegun: Boolean,
    val actions: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

/**
 * The other node's [answer]; null if the connection to it breaks.
 *
 * @property isLast whether a second node has refused it as well.
 */
private data class ReturnCase(
    val name: String,
    val answer: Int?,
    val actions: List<String>,
    val isLast: Boolean = false,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private const val ATTEMPTS = 3
private val stream = RetryRule.Stream(isResumable = true)

private fun newRun(peers: List<String>, upstreams: List<String> = listOf("a", "b", "c", "d")) =
    PlacementRun(startedAt = -1.minutes).apply {
        register(*upstreams.toTypedArray())
        hear(peers)
    }

private fun PlacementRun.hear(peers: List<String>) {
    val forwarding = peers.map { peer ->
        val unreached = if (peer.endsWith("-")) setOf(Samples.desk) else emptySet()
        ForwardingPeer(peer.removeSuffix("-"), unreached)
    }
    step(
        PlacementEvent.PeerReport(
            loads = persistentMapOf(),
            recentlyLost = persistentMapOf(),
            share = NodeShare("me", peers.toSet()),
            forwardingPeers = forwarding.toPersistentList(),
        ),
    )
}

private fun PlacementRun.submit(
    rule: RetryRule,
    key: Long = 1,
    earlierArrivals: Int? = null,
): List<String> {
    val route = Samples.route(rule, attempts = 5, timeout = 25.seconds, objective = 4.seconds)
    val call = Samples.call(route, key = key, arrivedAt = now)
    return step(
        PlacementEvent.Submit(call.copy(head = call.head.copy(earlierArrivals = earlierArrivals))),
    )
}

private fun List<String>.targets(): List<String> = filter { it.startsWith("send ") }
    .map { it.removePrefix("send ").substringBefore(" newly") }
    .map { if (it.startsWith("node ")) it else "upstream" }

class ForwardingTest :
    FunSpec({
        // Guards against calls that fail at a node whose links to the upstreams are cut (RECOVER).
        context("a call that finds no connection") {
            withData(
                UnsentCase(
                    "is forwarded after two attempts",
                    sends = listOf("upstream", "upstream", "node n1:80"),
                ),
                UnsentCase(
                    "is forwarded after one that hung",
                    connectTime = 300.milliseconds,
                    sends = listOf("upstream", "node n1:80", "upstream"),
                ),
                UnsentCase(
                    "is forwarded if it may run once, since it reached nobody",
                    rule = RetryRule.AtMostOnce,
                    sends = listOf("upstream", "upstream", "node n1:80"),
                ),
                UnsentCase(
                    "is not forwarded to a node that reaches no upstream either",
                    peers = listOf("n1:80-", "n2:80"),
                    sends = listOf("upstream", "upstream", "node n2:80"),
                ),
                UnsentCase(
                    "tries further upstreams without such a node",
                    peers = listOf("n1:80-"),
                    sends = listOf("upstream", "upstream", "upstream"),
                ),
                UnsentCase(
                    "is forwarded once only",
                    earlierArrivals = 0,
                    sends = listOf("upstream", "upstream", "upstream"),
                ),
            ) { case ->
                val run = newRun(case.peers)
                val first = run.submit(case.rule, earlierArrivals = case.earlierArrivals)
                val others = (1 until ATTEMPTS).flatMap { number ->
                    run.now += case.connectTime
                    run.step(PlacementEvent.Unsent(attempt(number), "no connection"))
                }
                (first + others).targets() shouldBe case.sends
            }
        }

        // Guards against a stream joined from two versions, one of them unknown here (ORDER).
        context("a stream that is lost at the node that it was forwarded to") {
            withData(
                LostForwardCase(
                    "goes on where it began",
                    hasBegun = true,
                    actions = listOf("seek origin"),
                ),
                LostForwardCase(
                    "may begin elsewhere if it had no event",
                    hasBegun = false,
                    actions = listOf("send node n2:80"),
                ),
            ) { case ->
                val run = newRun(peers = listOf("n1:80"), upstreams = listOf("a"))
                run.submit(stream)
                run.step(PlacementEvent.Unsent(attempt(1), "no connection"))
                run.step(PlacementEvent.StreamOpened(attempt(2)))
                if (case.hasBegun) run.step(PlacementEvent.StreamProgressed(attempt(2)))
                run.hear(listOf("n1:80", "n2:80"))
                run.step(PlacementEvent.AttemptFailed(attempt(2), "reset")) shouldBe case.actions
            }
        }

        // Guards against a call that runs at more upstreams than its route allows (BUDGET).
        context("a call that comes back from the node that it was forwarded to") {
            withData(
                ReturnCase("that failed everywhere", answer = 500, listOf("deliver 500")),
                ReturnCase("that was refused", answer = 503, listOf("send node n2:80")),
                ReturnCase("refused twice", 503, actions = listOf("upstream"), isLast = true),
                ReturnCase("with its connection", answer = null, listOf("refuse broken")),
            ) { case ->
                val run = newRun(peers = listOf("n1:80"))
                run.submit(RetryRule.Idempotent)
                (1..2).forEach { run.step(PlacementEvent.Unsent(attempt(it), "no connection")) }
                run.hear(listOf("n1:80", "n2:80", "n3:80").take(if (case.isLast) 3 else 2))
                fun refused(number: Int) = PlacementEvent.Answered(
                    attempt(number),
                    Samples.answer(503, didNotRun = true),
                )
                val event = when (case.answer) {
                    null -> PlacementEvent.AttemptFailed(attempt(3), "reset")
                    503 -> refused(3)
                    else -> PlacementEvent.Answered(attempt(3), Samples.answer(case.answer))
                }
                val actions = run.step(event)
                when {
                    case.isLast -> run.step(refused(4)).targets() shouldBe case.actions
                    else -> actions shouldBe case.actions
                }
            }
        }

        // Guards against a node that takes the loss of its own links for that of the upstreams.
        test("a node that has lost several upstreams and hears none forwards new calls at once") {
            val run = newRun(peers = listOf("n1:80"))
            run.now = 1.seconds
            run.submit(RetryRule.Idempotent, key = 1)
            (1..2).forEach { run.step(PlacementEvent.Unsent(attempt(it), "no connection")) }
            run.submit(RetryRule.Idempotent, key = 2)
            run.step(PlacementEvent.Unsent(attempt(call = 2), "no connection"))
            run.now += 400.milliseconds
            run.step(PlacementEvent.Tick)
            run.submit(RetryRule.Idempotent, key = 3).targets() shouldBe listOf("node n1:80")
            run.step(PlacementEvent.Probed(UpstreamId("a"), isAlive = true, cause = ""))
            run.step(PlacementEvent.Tick)
            run.submit(RetryRule.Idempotent, key = 4).targets() shouldBe listOf("upstream")
        }
    })
