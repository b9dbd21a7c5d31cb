package org.bilberrycart.news

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentHashMapOf
import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.model.VmId

private const val SIZE = 24

private fun member(number: Int) =
    Member(VmId("vm$number"), "127.0.0.1", number, DataCentreId("dc${number % 3}"))

/** The news duties of some nodes; each message arrives at once, but [lost] of them not at all. */
private data class Newsroom(
    val states: Map<VmId, NewsState>,
    val now: Duration = Duration.ZERO,
    val sent: Int = 0,
    val lost: (Int) -> Boolean = { false },
    val heard: List<Pair<VmId, NewsAction>> = emptyList(),
) {
    fun deliver(number: Int, event: NewsEvent) = deliver(VmId("vm$number"), event)

    fun after(time: Duration): Newsroom = generateSequence(this) { room ->
        val next = room.copy(now = room.now + 50.milliseconds)
        next.states.keys.fold(next) { all, vm -> all.deliver(vm, NewsEvent.Tick) }
    }.first { it.now >= now + time }

    private fun deliver(vm: VmId, event: NewsEvent): Newsroom {
        val step = NewsFilter().step(states.getValue(vm), event, now)
        return step.actions.fold(copy(states = states + (vm to step.state))) { room, action ->
            when (action) {
                is NewsAction.Send -> room.pass(vm, action)
                else -> room.copy(heard = room.heard + (vm to action))
            }
        }
    }

    private fun pass(from: VmId, send: NewsAction.Send): Newsroom {
        val next = copy(sent = sent + 1)
        if (lost(sent)) return next
        val sender = states.getValue(from).self
        return next.deliver(send.to.vm, NewsEvent.Received(sender, send.message))
    }

    fun <T> hearers(action: T): Set<VmId> = heard.filter {
        it.second == action
    }.map { it.first }.toSet()
}

private fun newsroom(lost: (Int) -> Boolean = { false }): Newsroom {
    val members = (1..SIZE).map(::member)
    val records = members.associate { it.vm to MemberRecord(it, 1) }
    return Newsroom(
        members.associate {
            val others = persistentHashMapOf<VmId, MemberRecord>().putAll(records - it.vm)
            it.vm to NewsState(it, members = others)
        },
        lost = lost,
    )
}

private data class SpreadCase(
    val name: String,
    val event: NewsEvent,
    val action: NewsAction,
    val lost: (Int) -> Boolean = { false },
) : WithDataTestName {
    override fun dataTestName() = name
}

private val UPSTREAM = UpstreamId("engine-1")
private val REQUEST = Fingerprint("f")

class NewsFilterTest :
    FunSpec({
        context("news of one node reach every other node within two seconds") {
            withData(
                SpreadCase(
                    "a leaving upstream",
                    NewsEvent.UpstreamLeaving(UPSTREAM, 3),
                    NewsAction.UpstreamLeaving(UPSTREAM, 3),
                ),
                SpreadCase(
                    "a leaving upstream, while every third message is lost",
                    NewsEvent.UpstreamLeaving(UPSTREAM, 3),
                    NewsAction.UpstreamLeaving(UPSTREAM, 3),
                    lost = { it % 3 == 0 },
                ),
                SpreadCase(
                    "a configuration",
                    NewsEvent.ConfigurationAdopted(7),
                    NewsAction.NewerConfiguration(7),
                ),
            ) { case ->
                val room = newsroom(case.lost).deliver(1, case.event).after(2.seconds)
                room.hearers(case.action).size shouldBe SIZE - 1
            }
        }

        test("each item is sent a bounded number of times, and silence costs nothing") {
            val settings = NewsSettings(repairPeriod = 100.minutes)
            val quiet = newsroom().let { room ->
                room.copy(states = room.states.mapValues { it.value.copy(settings = settings) })
            }.after(1.seconds)
            quiet.sent shouldBe 0
            val first = quiet.deliver(1, NewsEvent.ConfigurationAdopted(7)).after(5.seconds)
            first.after(5.seconds).sent shouldBe first.sent
        }

        test("an old item changes nothing") {
            val room = newsroom().deliver(
                1,
                NewsEvent.UpstreamLeaving(UPSTREAM, 3),
            ).after(2.seconds)
            val before = room.heard.size
            val item = NewsItem.UpstreamLeaving(UPSTREAM, 2)
            val gossip = NewsMessage.Gossip(listOf(NewsMessage.Spreading(item, 60_000)))
            room.deliver(2, NewsEvent.Received(member(3), gossip)).heard.size shouldBe before
        }

        test("engines lost on different nodes are added up, then forgotten") {
            val lost = listOf(1, 2, 3).fold(newsroom()) { room, number ->
                room.deliver(number, NewsEvent.EngineLost(REQUEST)).after(2.seconds)
            }
            lost.hearers(NewsAction.Crashes(REQUEST, 3)).size shouldBe SIZE
            val settings = NewsSettings(crashRetention = 1.seconds, repairPeriod = 1.seconds)
            val forgotten = lost.copy(
                states = lost.states.mapValues { it.value.copy(settings = settings) },
                now = lost.now + 11.minutes,
            ).after(3.seconds)
            forgotten.states.values.sumOf { it.items.size } shouldBe 0
        }

        test("the use of an organisation is the sum over all nodes, on every node that reports") {
            val club = OrganisationId("club")
            val use = OrganisationUse(club, requestsPerSecond = 2f, running = 1, 60)
            val once = (1..SIZE).fold(newsroom()) { room, number ->
                room.deliver(number, NewsEvent.Used(listOf(use)))
            }
            val twice = (1..SIZE).fold(once) { room, number ->
                room.deliver(number, NewsEvent.Used(listOf(use)))
            }
            val total = OrganisationUse(club, 2f * SIZE, SIZE, 60L * SIZE)
            twice.hearers(NewsAction.FleetUse(total)).size shouldBe SIZE
        }
    })
