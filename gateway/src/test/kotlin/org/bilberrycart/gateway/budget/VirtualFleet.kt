package org.bilberrycart.gateway.budget

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.gateway.Samples
import org.bilberrycart.gateway.discovery.StoreVersion
import org.bilberrycart.gateway.discovery.TableEdition
import org.bilberrycart.gateway.model.RetryRule
import org.bilberrycart.gateway.model.ServiceName
import org.bilberrycart.gateway.peers.GossipMessage
import org.bilberrycart.gateway.peers.PeersAction
import org.bilberrycart.gateway.peers.TableStatus
import org.bilberrycart.gateway.placement.PlacementAction
import org.bilberrycart.gateway.placement.PlacementEvent
import org.bilberrycart.gateway.placement.SendOrder

/**
 * The conditions under which a [VirtualFleet] runs.
 *
 * @property requestRate requests a second that callers send to all nodes together.
 * @property rejectShare the part of the arrivals that upstreams reject without running them.
 * @property lossShare the part of the arrivals whose answers are lost.
 * @property gossipLoss the part of the gossip messages that are lost.
 */
internal data class FleetConditions(
    val nodes: Int = 4,
    val requestRate: Int = 40,
    val rejectShare: Double = 1.0,
    val lossShare: Double = 0.0,
    val gossipLoss: Double = 0.0,
    val disruptions: List<Disruption> = emptyList(),
)

/** Whole placements joined by gossip, in virtual time, before upstreams that count arrivals. */
internal class VirtualFleet(private val conditions: FleetConditions, seed: Int) {
    private sealed class Delivery {
        abstract val at: Duration
        abstract val node: Int

        data class Outcome(
            override val at: Duration,
            override val node: Int,
            val startedAt: Duration,
            val event: PlacementEvent,
        ) : Delivery()

        data class Gossip(
            override val at: Duration,
            override val node: Int,
            val message: GossipMessage,
        ) : Delivery()
    }

    private val random = Random(seed)
    private val addresses = List(conditions.nodes) { "node-$it:1" }
    private var nodes = List(conditions.nodes) { start(it, Duration.ZERO) }
    private var upSince = List(conditions.nodes) { Duration.ZERO }
    private var deliveries = persistentListOf<Delivery>()
    private var arrived = persistentSetOf<String>()
    private var requests = 0L
    private var now = Duration.ZERO
    private val book = ArrivalBook()

    /** How many calls ended without an answer of an upstream. */
    var refusals = 0
        private set

    /** How many repeats arrived at upstreams. */
    val repeats: Int
        get() = book.repeatCount

    /** Lets the fleet run until [end] and returns how many repeats the worst window had left. */
    fun leastLeft(end: Duration): Double {
        generateSequence(Duration.ZERO) { it + STEP }.takeWhile { it < end }.forEach(::advance)
        return book.leastLeft(end)
    }

    private fun advance(time: Duration) {
        now = time
        active<Disruption.Restart>().filter { it.at == now }.forEach(::restart)
        if (random.nextDouble() < fraction()) submit()
        repeat((conditions.requestRate * (STEP / 1.seconds)).toInt()) { submit() }
        deliver()
        nodes.indices.filter { canRun(it) }.forEach { nodes[it].tick(configuration(it), now) }
    }

    private fun fraction(): Double = (conditions.requestRate * (STEP / 1.seconds)).rem(1.0)

    private inline fun <reified T : Disruption> active(): List<T> =
        conditions.disruptions.filterIsInstance<T>().filter { it.at <= now }

    private fun restart(restart: Disruption.Restart) = restart.nodes.forEach { node ->
        val back = now + restart.downTime
        nodes = nodes.mapIndexed { i, known -> if (i == node) start(node, back) else known }
        upSince = upSince.mapIndexed { i, since -> if (i == node) back else since }
    }

    private fun start(node: Int, at: Duration): VirtualNode = VirtualNode(
        addresses[node],
        startedAt = at,
        seeds = addresses.take(SEEDS),
        seed = node * 1000L + at.inWholeMilliseconds,
        onAction = { execute(node, at, it) },
        onGossip = { send(node, it) },
    ).also { it.list(upstreams, at) }

    private fun isUp(node: Int) = upSince[node] <= now

    private fun isFrozen(node: Int) =
        active<Disruption.Freeze>().any { node in it.nodes && now < it.at + it.time }

    private fun canRun(node: Int) = isUp(node) && !isFrozen(node)

    private fun submit() {
        val node = random.nextInt(conditions.nodes)
        book.countRequest(service(isStale = false), now)
        if (!isUp(node)) return
        requests++
        val sample = Samples.call(ROUTE, key = requests, arrivedAt = now)
        val call = sample.copy(service = sample.service.copy(name = service(isStale(node))))
        schedule(Delivery.Outcome(now, node, startOf(node), PlacementEvent.Submit(call)))
    }

    private fun isStale(node: Int) = active<Disruption.RouteMoved>()
        .any { node in it.staleNodes && now < it.at + it.staleTime }

    /** Returns the configuration of [node], which the store confirms while it can be reached. */
    private fun configuration(node: Int): TableStatus {
        val moved = active<Disruption.RouteMoved>()
        val cutOffAt = moved.filter { isStale(node) }.map { it.at }
        val outages = active<Disruption.StoreOutage>().filter { now < it.at + it.time }
        val version = if (moved.isEmpty() || isStale(node)) 1L else 2L
        return TableStatus(
            table = "CONFIGURATION",
            edition = TableEdition(version, StoreVersion(era = 0, version)),
            confirmedAt = (cutOffAt + outages.map { it.at } + now).min(),
        )
    }

    private fun service(isStale: Boolean): ServiceName =
        if (active<Disruption.RouteMoved>().isEmpty() || isStale) Samples.desk else depot

    private fun startOf(node: Int) = nodes[node].startedAt

    private fun schedule(delivery: Delivery) {
        deliveries = deliveries.add(delivery)
    }

    /** Hands over what is due; what comes to a frozen node waits. */
    private fun deliver() {
        val (due, left) = deliveries.partition { it.at <= now && !isFrozen(it.node) }
        deliveries = left.toPersistentList()
        due.filter { isUp(it.node) }.forEach { delivery ->
            when (delivery) {
                is Delivery.Outcome -> if (delivery.startedAt == startOf(delivery.node)) {
                    nodes[delivery.node].step(delivery.event, now)
                }
                is Delivery.Gossip -> nodes[delivery.node].receive(delivery.message, now)
            }
        }
    }

    private fun send(node: Int, action: PeersAction.Send) = action.addresses
        .map { addresses.indexOf(it) }
        .filterNot {
            isIsolated(it) ||
                isIsolated(node) ||
                arePartitioned(it, node) ||
                random.nextDouble() < conditions.gossipLoss
        }
        .forEach { schedule(Delivery.Gossip(now + STEP, it, action.message)) }

    private fun isIsolated(node: Int) =
        active<Disruption.Isolation>().any { node in it.nodes && now < it.at + it.time }

    private fun arePartitioned(a: Int, b: Int) = active<Disruption.Partition>()
        .any { now < it.at + it.time && (a in it.nodes) != (b in it.nodes) }

    private fun execute(node: Int, startedAt: Duration, action: PlacementAction) {
        when (action) {
            is PlacementAction.Send -> arrive(node, startedAt, action.order)
            is PlacementAction.Refuse -> refusals++
            else -> Unit
        }
    }

    private fun arrive(node: Int, startedAt: Duration, order: SendOrder) {
        val (delay, event) = outcome(order)
        if (event !is PlacementEvent.Unsent) count(order)
        schedule(Delivery.Outcome(now + delay, node, startedAt, event))
    }

    private fun count(order: SendOrder) {
        val id = order.call.head.requestId
        if (id in arrived) book.countRepeat(order.upstream.service, now)
        arrived = arrived.add(id)
    }

    private fun outcome(order: SendOrder): Pair<Duration, PlacementEvent> {
        val id = order.call.head.requestId
        return when {
            isUnreachable(order) ->
                CONNECT_TIMEOUT to PlacementEvent.Unsent(order.attempt, "connect timeout")
            random.nextDouble() < rejectShare() ->
                SHORT_TIME to
                    PlacementEvent.Answered(
                        order.attempt,
                        Samples.answer(503, id, didNotRun = true),
                    )
            random.nextDouble() < conditions.lossShare ->
                ANSWER_TIME to PlacementEvent.AttemptFailed(order.attempt, "reset")
            else ->
                ANSWER_TIME to PlacementEvent.Answered(order.attempt, Samples.answer(200, id))
        }
    }

    private fun isUnreachable(order: SendOrder) = active<Disruption.Unreachable>().any {
        now < it.at + it.time && upstreams.indexOf(order.upstream) < it.share * upstreams.size
    }

    private fun rejectShare(): Double =
        active<Disruption.Overload>().filter { now < it.at + it.time }.maxOfOrNull { it.share }
            ?: conditions.rejectShare

    private companion object {
        const val SEEDS = 4
        val STEP = 20.milliseconds
        val SHORT_TIME = 20.milliseconds
        val ANSWER_TIME = 60.milliseconds
        val CONNECT_TIMEOUT = 300.milliseconds
        val depot = ServiceName("depot")
        val ROUTE = Samples.route(RetryRule.Idempotent, attempts = 2, timeout = 3.seconds)
        val upstreams = listOf(Samples.desk, depot).flatMap { service ->
            (1..6).map { Samples.entry("${service.value}-$it").copy(service = service) }
        }.shuffled(Random(1))
    }
}
