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

/** The gossip state of several nodes; a message arrives at once, or never if it [isLost]. */
private data class GossipNetwork(
    val states: Map<VmId, GossipState>,
    val now: Duration = Duration.ZERO,
    val messagesSent: Int = 0,
    val isLost: (Int) -> Boolean = { false },
    val actions: List<Pair<VmId, GossipAction>> = emptyList(),
) {
    fun deliver(number: Int, event: GossipEvent) = deliver(VmId("vm$number"), event)

    fun advance(time: Duration): GossipNetwork = generateSequence(this) { network ->
        val next = network.copy(now = network.now + 50.milliseconds)
        next.states.keys.fold(next) { all, vm -> all.deliver(vm, GossipEvent.Tick) }
    }.first { it.now >= now + time }

    private fun deliver(vm: VmId, event: GossipEvent): GossipNetwork {
        val step = GossipFilter().step(states.getValue(vm), event, now)
        return step.actions.fold(copy(states = states + (vm to step.state))) { network, action ->
            when (action) {
                is GossipAction.Send -> network.transmit(vm, action)
                else -> network.copy(actions = network.actions + (vm to action))
            }
        }
    }

    private fun transmit(from: VmId, send: GossipAction.Send): GossipNetwork {
        val next = copy(messagesSent = messagesSent + 1)
        if (isLost(messagesSent)) return next
        val sender = states.getValue(from).self
        return next.deliver(send.to.vm, GossipEvent.Received(sender, send.message))
    }

    fun <T> nodesWith(action: T): Set<VmId> = actions.filter {
        it.second == action
    }.map { it.first }.toSet()
}

private fun gossipNetwork(isLost: (Int) -> Boolean = { false }): GossipNetwork {
    val members = (1..SIZE).map(::member)
    val records = members.associate { it.vm to MemberRecord(it, 1) }
    return GossipNetwork(
        members.associate {
            val others = persistentHashMapOf<VmId, MemberRecord>().putAll(records - it.vm)
            it.vm to GossipState(it, members = others)
        },
        isLost = isLost,
    )
}

private data class SpreadCase(
    val name: String,
    val event: GossipEvent,
    val action: GossipAction,
    val isLost: (Int) -> Boolean = { false },
) : WithDataTestName {
    override fun dataTestName() = name
}

private val UPSTREAM = UpstreamId("engine-1")
private val REQUEST = Fingerprint("f")

class GossipFilterTest :
    FunSpec({
        context("an item of one node reaches every other node within two seconds") {
            withData(
                SpreadCase(
                    "a leaving upstream",
                    GossipEvent.UpstreamLeaving(UPSTREAM, 3),
                    GossipAction.UpstreamLeaving(UPSTREAM, 3),
                ),
                SpreadCase(
                    "a leaving upstream, while every third message is lost",
                    GossipEvent.UpstreamLeaving(UPSTREAM, 3),
                    GossipAction.UpstreamLeaving(UPSTREAM, 3),
                    isLost = { it % 3 == 0 },
                ),
                SpreadCase(
                    "a configuration",
                    GossipEvent.ConfigurationAdopted(7),
                    GossipAction.NewerConfiguration(7),
                ),
            ) { case ->
                val network = gossipNetwork(case.isLost).deliver(1, case.event).advance(2.seconds)
                network.nodesWith(case.action).size shouldBe SIZE - 1
            }
        }

        test("each item is sent a bounded number of times, and without items nothing is sent") {
            val settings = GossipSettings(antiEntropyInterval = 100.minutes)
            val idle = gossipNetwork().let { network ->
                network.copy(
                    states = network.states.mapValues { it.value.copy(settings = settings) },
                )
            }.advance(1.seconds)
            idle.messagesSent shouldBe 0
            val settled = idle.deliver(1, GossipEvent.ConfigurationAdopted(7)).advance(5.seconds)
            settled.advance(5.seconds).messagesSent shouldBe settled.messagesSent
        }

        test("an older item has no effect") {
            val network = gossipNetwork().deliver(
                1,
                GossipEvent.UpstreamLeaving(UPSTREAM, 3),
            ).advance(2.seconds)
            val before = network.actions.size
            val item = GossipItem.UpstreamLeaving(UPSTREAM, 2)
            val gossip = GossipPayload.Items(listOf(GossipPayload.ExpiringItem(item, 60_000)))
            network.deliver(2, GossipEvent.Received(member(3), gossip)).actions.size shouldBe before
        }

        test("engine crashes reported by different nodes are summed, then forgotten") {
            val reported = listOf(1, 2, 3).fold(gossipNetwork()) { network, number ->
                network.deliver(number, GossipEvent.EngineLost(REQUEST)).advance(2.seconds)
            }
            reported.nodesWith(GossipAction.Crashes(REQUEST, 3)).size shouldBe SIZE
            val settings =
                GossipSettings(crashRetention = 1.seconds, antiEntropyInterval = 1.seconds)
            val forgotten = reported.copy(
                states = reported.states.mapValues { it.value.copy(settings = settings) },
                now = reported.now + 11.minutes,
            ).advance(3.seconds)
            forgotten.states.values.sumOf { it.items.size } shouldBe 0
        }

        test("every node that reports an organisation learns its usage summed over all nodes") {
            val club = OrganisationId("club")
            val usage = OrganisationUsage(club, requestsPerSecond = 2f, running = 1, 60)
            val once = (1..SIZE).fold(gossipNetwork()) { network, number ->
                network.deliver(number, GossipEvent.UsageMeasured(listOf(usage)))
            }
            val twice = (1..SIZE).fold(once) { network, number ->
                network.deliver(number, GossipEvent.UsageMeasured(listOf(usage)))
            }
            val total = OrganisationUsage(club, 2f * SIZE, SIZE, 60L * SIZE)
            twice.nodesWith(GossipAction.FleetUsage(total)).size shouldBe SIZE
        }
    })
