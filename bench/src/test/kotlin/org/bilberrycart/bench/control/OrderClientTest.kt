package org.bilberrycart.bench.control

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import java.util.concurrent.LinkedBlockingQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.orders.EngineOrder
import org.bilberrycart.orders.OrderClient
import org.bilberrycart.orders.OrdersAction
import org.bilberrycart.orders.OrdersEvent
import org.bilberrycart.standins.engine.EngineSettings
import org.bilberrycart.standins.engine.EngineStandIn

private data class LateOrderCase(
    val checksFencing: Boolean,
    val late: OrdersEvent,
    val isDraining: Boolean,
) : WithDataTestName {
    override fun dataTestName(): String = "the engine checks fencing numbers: $checksFencing"
}

private val id = UpstreamId("u1")

class OrderClientTest :
    FunSpec({
        context("an order of the previous lease holder that arrives after one of the next holder") {
            withData(
                LateOrderCase(
                    checksFencing = true,
                    late = OrdersEvent.OrderRefused(id, highest = 2),
                    isDraining = false,
                ),
                LateOrderCase(
                    checksFencing = false,
                    late = OrdersEvent.OrderDone(id),
                    isDraining = true,
                ),
            ) { case ->
                val events = LinkedBlockingQueue<OrdersEvent>()
                val settings = EngineSettings(checksFencing = case.checksFencing)
                EngineStandIn(settings).start().use { engine ->
                    OrderClient(events::put).use { client ->
                        val upstream = upstreamOf(engine)
                        val model = ModelRef("other", version = "2")
                        client.send(order(upstream, EngineOrder.Load(model), fencing = 2))
                        events.take() shouldBe OrdersEvent.OrderDone(id)
                        client.send(order(upstream, EngineOrder.Drain(true), fencing = 1))
                        events.take() shouldBe case.late
                        client.readState(upstream)
                        val state = (events.take() as OrdersEvent.StateRead).observed
                        state.isDraining shouldBe case.isDraining
                        state.fencing shouldBe 2
                        (model in state.models) shouldBe true
                    }
                }
            }
        }
    })

private fun upstreamOf(engine: EngineStandIn) = Upstream(
    id = id,
    address = "127.0.0.1",
    port = engine.port,
    dataCentre = DataCentreId("d"),
    services = setOf(ServiceId("s")),
    slots = 8,
)

private fun order(upstream: Upstream, order: EngineOrder, fencing: Long) = OrdersAction.Send(
    upstream,
    order,
    fencing,
    validUntil = Duration.INFINITE,
    timeout = 5.seconds,
)
