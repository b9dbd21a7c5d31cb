package org.bilberrycart.gateway.peers

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentSetOf

private data class PeersCase(
    val name: String,
    val before: List<PeersEvent>,
    val wait: Duration = 50.milliseconds,
    val last: PeersEvent,
    val actions: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private fun tick(loads: Map<String, Int> = emptyMap()) =
    PeersEvent.Tick(loads, lost = emptyMap(), tables = emptyMap())

private fun news(
    sender: String,
    sequence: Long = 1,
    incarnation: Long = 1,
    loads: Map<String, Int> = emptyMap(),
    members: List<String> = emptyList(),
    lost: Map<String, Int> = emptyMap(),
    strikes: Map<Long, List<String>> = emptyMap(),
) = PeersEvent.Received(
    PeerNews(sender, incarnation, sequence, members, loads, lost, strikes = strikes),
)

private val START = 1.seconds

/** A tick also calls on the seed that was not heard. */
private const val SOUGHT = "tell seed:1 {}"

class PeersFilterTest :
    FunSpec({
        fun tell(action: PeersAction): String = when (action) {
            is PeersAction.Tell -> "tell ${action.addresses.joinToString("+")} ${action.news.loads}"
            is PeersAction.Elsewhere -> listOfNotNull(
                "elsewhere ${action.told.loads} of ${action.peers.size}",
                action.told.lost.takeIf { it.isNotEmpty() }?.let { "lost $it" },
                action.told.strikes.takeIf { it.isNotEmpty() }?.let { "strikes $it" },
            ).joinToString(" ")
            is PeersAction.Tables -> "tables"
            is PeersAction.Believe -> if (action.isAlive) "heard" else "silent"
        }

        fun check(case: PeersCase) {
            val filter = PeersFilter()
            val first = PeersState("me:1", incarnation = 5, persistentSetOf("seed:1"))
            val state = case.before.fold(first) { state, event ->
                filter.step(state, event, START).state
            }
            filter.step(state, case.last, START + case.wait).actions.map(::tell) shouldBe
                case.actions
        }

        context("news of a peer") {
            withData(
                PeersCase(
                    "of the first hearing name it and its tables",
                    emptyList(),
                    last = news("b:1"),
                    actions = listOf("heard", "tables"),
                ),
                PeersCase(
                    "say nothing new when they come again",
                    listOf(news("a:1", loads = mapOf("u" to 2))),
                    last = news("a:1", sequence = 2),
                    actions = emptyList(),
                ),
                PeersCase(
                    "say nothing when they are its own that come back",
                    emptyList(),
                    last = news("me:1", loads = mapOf("u" to 2)),
                    actions = emptyList(),
                ),
            ) { check(it) }
        }

        context("what peers say is told at the next tick") {
            withData(
                PeersCase(
                    "loads of all peers are added up",
                    listOf(
                        news("a:1", loads = mapOf("u" to 2)),
                        news("b:1", loads = mapOf("u" to 1, "v" to 3)),
                    ),
                    last = tick(),
                    actions = listOf("elsewhere {u=3, v=3} of 2", "tell a:1+b:1 {}", SOUGHT),
                ),
                PeersCase(
                    "newer news replace older ones",
                    listOf(
                        news("a:1", loads = mapOf("u" to 2)),
                        news("a:1", sequence = 2, loads = mapOf("u" to 1)),
                    ),
                    last = tick(),
                    actions = listOf("elsewhere {u=1} of 1", "tell a:1 {}", SOUGHT),
                ),
                PeersCase(
                    "news that overtook others stand",
                    listOf(
                        news("a:1", sequence = 3, loads = mapOf("u" to 2)),
                        news("a:1", sequence = 2),
                    ),
                    last = tick(),
                    actions = listOf("elsewhere {u=2} of 1", "tell a:1 {}", SOUGHT),
                ),
                PeersCase(
                    "a restarted peer counts from one",
                    listOf(
                        news("a:1", sequence = 9, loads = mapOf("u" to 2)),
                        news("a:1", incarnation = 2, loads = mapOf("u" to 5)),
                    ),
                    last = tick(),
                    actions = listOf("elsewhere {u=5} of 1", "tell a:1 {}", SOUGHT),
                ),
                PeersCase(
                    "a loss ages until it is told",
                    listOf(news("a:1", lost = mapOf("u" to 30))),
                    last = tick(),
                    actions = listOf("elsewhere {} of 1 lost {u=80}", "tell a:1 {}", SOUGHT),
                ),
                PeersCase(
                    "upstreams that broke off calls of one content are put together",
                    listOf(
                        news("a:1", strikes = mapOf(7L to listOf("u", "v"))),
                        news("b:1", strikes = mapOf(7L to listOf("v", "w"))),
                    ),
                    last = tick(),
                    actions = listOf(
                        "elsewhere {} of 2 strikes {7=[u, v, w]}",
                        "tell a:1+b:1 {}",
                        SOUGHT,
                    ),
                ),
            ) { check(it) }
        }

        context("what time brings") {
            withData(
                PeersCase(
                    "a seed is called on until it is heard",
                    emptyList(),
                    last = tick(),
                    actions = listOf("tell seed:1 {}"),
                ),
                PeersCase(
                    "members that a peer names are called on",
                    listOf(news("seed:1", members = listOf("c:1")), tick()),
                    wait = 1.seconds,
                    last = tick(),
                    actions = listOf("tell seed:1 {}", "tell c:1 {}"),
                ),
                PeersCase(
                    "a change is told soon",
                    listOf(news("seed:1"), tick()),
                    last = tick(mapOf("u" to 1)),
                    actions = listOf("tell seed:1 {u=1}"),
                ),
                PeersCase(
                    "no change is told later",
                    listOf(news("seed:1"), tick(mapOf("u" to 1))),
                    wait = 390.milliseconds,
                    last = tick(emptyMap()).copy(loads = emptyMap()),
                    actions = listOf("tell seed:1 {}"),
                ),
                PeersCase(
                    "a silent peer has no load",
                    listOf(news("seed:1", loads = mapOf("u" to 1)), tick()),
                    wait = 1.6.seconds,
                    last = tick(),
                    actions = listOf("silent", "elsewhere {} of 0", "tell seed:1 {}"),
                ),
            ) { check(it) }
        }

        test("news survive their encoding") {
            val sent =
                PeerNews(
                    "a:1",
                    7,
                    8,
                    listOf("b:1"),
                    mapOf("u" to 2),
                    mapOf("v" to 30),
                    mapOf(
                        "T" to 9,
                    ),
                    mapOf(-3L to listOf("v")),
                )
            PeerCodec.news(PeerCodec.encode(sent)) shouldBe sent
        }

        context("bytes that are no news are ignored") {
            val whole = PeerCodec.encode(PeerNews("a:1", incarnation = 7, sequence = 8))
            val nested = ByteArray(NESTED_BYTES) { 0x7f }
            withData(
                nameFn = { "${it.size} bytes" },
                listOf(ByteArray(0), ByteArray(9), whole.copyOf(whole.size - 3), nested),
            ) { PeerCodec.news(it) shouldBe null }
        }
    })

/** Enough openings of a text of indefinite length to exhaust the stack of the decoder. */
private const val NESTED_BYTES = 60_000
