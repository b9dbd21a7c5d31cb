package org.bilberrycart.gateway.peers

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentSetOf
import org.bilberrycart.gateway.model.PartReport
import org.bilberrycart.gateway.model.RetryUse
import org.bilberrycart.gateway.peers.PeersFixture.START
import org.bilberrycart.gateway.peers.PeersFixture.received
import org.bilberrycart.gateway.peers.PeersFixture.tick

private data class PeersCase(
    val name: String,
    val before: List<PeersEvent>,
    val wait: Duration = 50.milliseconds,
    val last: PeersEvent,
    val actions: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

/** A tick also contacts the seed, from which no message was received. */
private const val CONTACTED = "send seed:1 {}"

class PeersFilterTest :
    FunSpec({
        fun describe(action: PeersAction): String = when (action) {
            is PeersAction.Send ->
                "send ${action.addresses.joinToString("+")} ${action.message.loads}"
            is PeersAction.SummaryChanged -> listOfNotNull(
                "summary ${action.summary.loads} of ${action.peers.size}",
                action.summary.lossAges.takeIf { it.isNotEmpty() }?.let { "lost $it" },
                action.summary.crashes.takeIf { it.isNotEmpty() }?.let { "crashes $it" },
                action.summary.partReports.flatMap { it.blockedAges.keys }
                    .takeIf { it.isNotEmpty() }?.let { "blocked $it" },
            ).joinToString(" ")
            is PeersAction.TableEditions -> "tables"
            is PeersAction.PeerStatusChanged -> if (action.isAlive) "alive" else "silent"
        }

        fun check(case: PeersCase) {
            val filter = PeersFilter()
            val first = PeersState("me:1", incarnation = 5, persistentSetOf("seed:1"))
            val state = case.before.fold(first) { state, event ->
                filter.step(state, event, START).state
            }
            filter.step(state, case.last, START + case.wait).actions.map(::describe) shouldBe
                case.actions
        }

        context("a message of a peer") {
            withData(
                PeersCase(
                    "reports a new peer and its table versions",
                    emptyList(),
                    last = received("b:1"),
                    actions = listOf("alive", "tables"),
                ),
                PeersCase(
                    "reports nothing when the table versions are unchanged",
                    listOf(received("a:1", loads = mapOf("u" to 2))),
                    last = received("a:1", sequence = 2),
                    actions = emptyList(),
                ),
                PeersCase(
                    "is ignored when it is the node's own",
                    emptyList(),
                    last = received("me:1", loads = mapOf("u" to 2)),
                    actions = emptyList(),
                ),
            ) { check(it) }
        }

        context("a tick reports the summary of all peers") {
            withData(
                PeersCase(
                    "loads of all peers are added up",
                    listOf(
                        received("a:1", loads = mapOf("u" to 2)),
                        received("b:1", loads = mapOf("u" to 1, "v" to 3)),
                    ),
                    last = tick(),
                    actions = listOf("summary {u=3, v=3} of 2", "send a:1+b:1 {}", CONTACTED),
                ),
                PeersCase(
                    "a newer message replaces an older one",
                    listOf(
                        received("a:1", loads = mapOf("u" to 2)),
                        received("a:1", sequence = 2, loads = mapOf("u" to 1)),
                    ),
                    last = tick(),
                    actions = listOf("summary {u=1} of 1", "send a:1 {}", CONTACTED),
                ),
                PeersCase(
                    "a message that arrives late is ignored",
                    listOf(
                        received("a:1", sequence = 3, loads = mapOf("u" to 2)),
                        received("a:1", sequence = 2),
                    ),
                    last = tick(),
                    actions = listOf("summary {u=2} of 1", "send a:1 {}", CONTACTED),
                ),
                PeersCase(
                    "a restarted peer starts its sequence again",
                    listOf(
                        received("a:1", sequence = 9, loads = mapOf("u" to 2)),
                        received("a:1", incarnation = 2, loads = mapOf("u" to 5)),
                    ),
                    last = tick(),
                    actions = listOf("summary {u=5} of 1", "send a:1 {}", CONTACTED),
                ),
                PeersCase(
                    "the age of a loss grows until it is reported",
                    listOf(received("a:1", lossAges = mapOf("u" to 30))),
                    last = tick(),
                    actions = listOf("summary {} of 1 lost {u=80}", "send a:1 {}", CONTACTED),
                ),
                PeersCase(
                    "reports on prompt parts are passed on, empty ones left out",
                    listOf(
                        received("a:1", parts = PartReport(blockedAges = mapOf("p" to 5))),
                        received("b:1"),
                        received("c:1", parts = PartReport(blockedAges = mapOf("q" to 5))),
                    ),
                    last = tick(),
                    actions = listOf(
                        "summary {} of 3 blocked [p, q]",
                        "send a:1+b:1+c:1 {}",
                        CONTACTED,
                    ),
                ),
                PeersCase(
                    "crashes of calls with one fingerprint are combined",
                    listOf(
                        received("a:1", crashes = mapOf(7L to listOf("u", "v"))),
                        received("b:1", crashes = mapOf(7L to listOf("v", "w"))),
                    ),
                    last = tick(),
                    actions = listOf(
                        "summary {} of 2 crashes {7=[u, v, w]}",
                        "send a:1+b:1 {}",
                        CONTACTED,
                    ),
                ),
            ) { check(it) }
        }

        context("a tick sends messages when they are due") {
            withData(
                PeersCase(
                    "a seed is contacted until it answers",
                    emptyList(),
                    last = tick(),
                    actions = listOf("send seed:1 {}"),
                ),
                PeersCase(
                    "members that a peer names are contacted",
                    listOf(received("seed:1", members = listOf("c:1")), tick()),
                    wait = 1.seconds,
                    last = tick(),
                    actions = listOf("send seed:1 {}", "send c:1 {}"),
                ),
                PeersCase(
                    "a change is sent soon",
                    listOf(received("seed:1"), tick()),
                    last = tick(mapOf("u" to 1)),
                    actions = listOf("send seed:1 {u=1}"),
                ),
                PeersCase(
                    "a change back to no load is sent later",
                    listOf(received("seed:1"), tick(mapOf("u" to 1))),
                    wait = 390.milliseconds,
                    last = tick(emptyMap()).copy(loads = emptyMap()),
                    actions = listOf("send seed:1 {}"),
                ),
                PeersCase(
                    "the load of a silent peer is dropped",
                    listOf(received("seed:1", loads = mapOf("u" to 1)), tick()),
                    wait = 1.6.seconds,
                    last = tick(),
                    actions = listOf("silent", "summary {} of 0", "send seed:1 {}"),
                ),
            ) { check(it) }
        }

        // Guards against a budget that grows with each silence of a peer.
        test("the first dispatches of a departed peer leave the budget within a window") {
            val use = mapOf("s" to RetryUse(firstDispatches = 100, retries = 40))
            val departed = DepartedRetries(use, lastSeenAt = START, until = START + 10.seconds)
            listOf(0, 5, 10).map { departed.at(START + it.seconds, 10.seconds)["s"] } shouldBe
                listOf(100, 50, 0).map { RetryUse(firstDispatches = it, retries = 40) }
        }

        context("a peer counts as silent only after it has missed several messages") {
            withData(
                nameFn = { (peers, isAlive) -> "$peers peers: alive $isAlive" },
                10 to false,
                100 to true,
                330 to true,
            ) { (peers, isAlive) ->
                val filter = PeersFilter()
                val first = PeersState("me:1", incarnation = 5)
                val heard = (1..peers).fold(first) { state, number ->
                    filter.step(state, received("p$number:1"), START).state
                }
                val later = filter.step(heard, tick(), START + 2.seconds).state
                (later.peers.size == peers) shouldBe isAlive
            }
        }
    })
