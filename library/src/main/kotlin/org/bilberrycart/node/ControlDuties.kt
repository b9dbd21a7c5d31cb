package org.bilberrycart.node

import java.util.UUID
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import org.bilberrycart.configuration.ConfigurationAction
import org.bilberrycart.configuration.ConfigurationContext
import org.bilberrycart.configuration.ConfigurationEvent
import org.bilberrycart.configuration.ConfigurationFilter
import org.bilberrycart.configuration.ConfigurationState
import org.bilberrycart.configuration.ConfigurationStore
import org.bilberrycart.idempotency.IdempotencyContext
import org.bilberrycart.idempotency.IdempotencyStore
import org.bilberrycart.lease.LeaseAction
import org.bilberrycart.lease.LeaseContext
import org.bilberrycart.lease.LeaseEvent
import org.bilberrycart.lease.LeaseFilter
import org.bilberrycart.lease.LeaseState
import org.bilberrycart.lease.LeaseStore
import org.bilberrycart.model.VmId
import org.bilberrycart.orders.OrderClient
import org.bilberrycart.orders.OrdersContext
import org.bilberrycart.orders.OrdersEvent
import org.bilberrycart.orders.OrdersFilter
import org.bilberrycart.orders.OrdersSink
import org.bilberrycart.orders.OrdersState
import org.bilberrycart.orders.OrdersStore
import org.bilberrycart.pipeline.Clock
import org.bilberrycart.pipeline.Duty
import org.bilberrycart.replication.VerdictStore
import org.bilberrycart.store.PlatformEvent
import org.bilberrycart.store.PlatformFilter
import org.bilberrycart.store.PlatformLimits
import org.bilberrycart.store.PlatformSink
import org.bilberrycart.store.PlatformState
import org.bilberrycart.store.StoreContext
import org.bilberrycart.store.StoreResult
import org.bilberrycart.store.TableClient
import org.bilberrycart.timer.Ticker

/**
 * The duties that work with the platform's table, a thread for each: the client of the table, the
 * configuration in force, the lease, and the orders that its holder sends to upstreams.
 *
 * @param callLimit the largest number of calls that the idempotency duty holds; it sets the
 *   capacity of [rings].
 * @property rings the rings of the duties, into which other duties put events.
 */
public class ControlDuties(
    private val self: VmId,
    table: TableClient,
    private val output: ControlOutput,
    private val clock: Clock,
    limits: PlatformLimits = PlatformLimits(),
    callLimit: Int = DEFAULT_CALL_LIMIT,
    public val rings: ControlRings = ControlRings(callLimit),
) : AutoCloseable {
    private val idempotencyStore = IdempotencyStore()
    private val orderClient = OrderClient { rings.orders.put(it) }

    /** The client of the platform's table; its snapshot holds the counters. */
    public val platform: Duty<PlatformState, PlatformEvent, *> = Duty(
        name = "platform",
        ring = rings.platform,
        initial = PlatformState(limits, seed = Random.nextLong()),
        filter = PlatformFilter(),
        clock = clock,
        sink = PlatformSink(table, rings.platform, ::routeResult),
    )

    /** Keeps the configuration up to date; its snapshot holds the document in force. */
    public val configuration: Duty<ConfigurationState, ConfigurationEvent, *> = Duty(
        name = "configuration",
        ring = rings.configuration,
        initial = ConfigurationState(seed = Random.nextLong()),
        filter = ConfigurationFilter(),
        clock = clock,
        sink = ::handleConfiguration,
    )

    /** Acquires and renews the lease; its snapshot says whether this node holds it. */
    public val lease: Duty<LeaseState, LeaseEvent, *> = Duty(
        name = "lease",
        ring = rings.lease,
        initial = LeaseState(self, UUID.randomUUID().toString(), seed = Random.nextLong()),
        filter = LeaseFilter(),
        clock = clock,
        sink = ::handleLease,
    )

    /** Sends orders to upstreams while this node holds the lease. */
    public val orders: Duty<OrdersState, OrdersEvent, *> = Duty(
        name = "orders",
        ring = rings.orders,
        initial = OrdersState(),
        filter = OrdersFilter(),
        clock = clock,
        sink = OrdersSink(orderClient, clock, rings.orders, rings.platform),
    )

    private val duties = listOf(platform, configuration, lease, orders)
    private val tickers = listOf(
        Ticker(STORE_TICK_PERIOD, listOf(Ticker.Target(rings.platform) { PlatformEvent.Tick })),
        Ticker(
            CONTROL_TICK_PERIOD,
            listOf(
                Ticker.Target(rings.configuration) { ConfigurationEvent.Tick },
                Ticker.Target(rings.lease) { LeaseEvent.Tick },
                Ticker.Target(rings.orders) { OrdersEvent.Tick },
            ),
        ),
    )

    /** Starts the duties and their timers. */
    public fun start(): ControlDuties = apply {
        duties.forEach { it.start() }
        tickers.forEach { it.start() }
    }

    override fun close() {
        tickers.forEach { it.close() }
        orderClient.close()
        duties.forEach { it.close() }
    }

    private fun routeResult(context: StoreContext, result: StoreResult) {
        when (context) {
            is IdempotencyContext -> output.idempotencyResult(
                idempotencyStore.toEvent(context, result),
            )
            is VerdictStore.Context -> output.verdictResult(context, result)
            is ConfigurationContext ->
                rings.configuration.put(ConfigurationStore.toEvent(context, result))
            is LeaseContext -> rings.lease.put(LeaseStore.toEvent(context, result))
            is OrdersContext -> rings.orders.put(OrdersStore.toEvent(context, result))
        }
    }

    private fun handleConfiguration(action: ConfigurationAction) {
        when (action) {
            ConfigurationAction.ReadHead,
            is ConfigurationAction.ReadDocument,
            is ConfigurationAction.Report,
            -> ConfigurationStore.toCall(action, self, clock.now())?.let(rings.platform::put)
            is ConfigurationAction.Adopt -> output.adopt(action.document)
            is ConfigurationAction.AnnounceVersion -> output.announce(action.version)
            is ConfigurationAction.RequestDocument -> output.askPeer(action.peer)
            is ConfigurationAction.SendDocument ->
                output.sendDocument(action.peer, action.document)
            is ConfigurationAction.ReadinessChanged -> output.readinessChanged(action.isReady)
        }
    }

    private fun handleLease(action: LeaseAction) {
        when (action) {
            is LeaseAction.Read, is LeaseAction.Write ->
                LeaseStore.toCall(action, clock.now())?.let(rings.platform::put)
            is LeaseAction.Held ->
                rings.orders.put(OrdersEvent.LeaseHeld(action.fencing, action.validUntil))
            is LeaseAction.Lost -> rings.orders.put(OrdersEvent.LeaseLost)
        }
    }

    private companion object {
        const val DEFAULT_CALL_LIMIT = 4_000
        val STORE_TICK_PERIOD = 10.milliseconds
        val CONTROL_TICK_PERIOD = 100.milliseconds
    }
}
