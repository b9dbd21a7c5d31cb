package org.bilberrycart.orders

import io.kotest.core.spec.style.FunSpec
import io.kotest.core.spec.style.scopes.FunSpecContainerScope
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.Upstream
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.settings.MaintenancePlan

private data class At(val seconds: Int, val event: OrdersEvent)

private data class ScriptCase(val name: String, val script: List<At>, val actions: List<String>) :
    WithDataTestName {
    override fun dataTestName(): String = name
}

private fun case(name: String, vararg script: At, then: List<String>) =
    ScriptCase(name, script.toList(), then)

private val model = ModelRef("m", version = "2")

private fun upstream(id: String, checksFencing: Boolean = true) = Upstream(
    id = UpstreamId(id),
    address = "127.0.0.1",
    port = 1,
    dataCentre = DataCentreId("d"),
    services = setOf(ServiceId("s")),
    slots = 10,
    checksFencing = checksFencing,
)

private fun drain(vararg ids: String, atOnce: Int = 1) =
    MaintenancePlan.Drain(ids.map(::UpstreamId).toPersistentSet(), atOnce = atOnce)

private fun load(vararg ids: String, atOnce: Int = 1) =
    MaintenancePlan.Load(model, ids.map(::UpstreamId).toPersistentSet(), atOnce)

private fun configured(at: Int, plan: MaintenancePlan?, checksFencing: Boolean = true, count: Int) =
    At(
        at,
        OrdersEvent.Configured(
            (1..count).map { upstream("u$it", checksFencing) }.associateBy { it.id }
                .toPersistentMap(),
            plan?.let { persistentMapOf("plan" to it) } ?: persistentMapOf(),
        ),
    )

private fun held(at: Int, fencing: Long = 1, until: Int = 60) =
    At(at, OrdersEvent.LeaseHeld(fencing, until.seconds))

private fun tick(at: Int) = At(at, OrdersEvent.Tick)

private fun state(
    at: Int,
    id: String,
    isDraining: Boolean = false,
    running: Int = 1,
    incarnation: Long = 1,
    hasModel: Boolean = false,
) = At(
    at,
    OrdersEvent.StateRead(
        UpstreamId(id),
        ObservedEngine(
            incarnation,
            isDraining,
            role = "",
            models = if (hasModel) persistentSetOf(model) else persistentSetOf(),
            running = running,
        ),
    ),
)

private fun progress(at: Int, version: Long, vararg drained: String) = At(
    at,
    OrdersEvent.ProgressRead(
        StoredProgress(OrdersProgress(drained.associateWith { 1L }), version),
    ),
)

private fun done(at: Int, id: String) = At(at, OrdersEvent.OrderDone(UpstreamId(id)))

private fun refused(at: Int, id: String, highest: Long) =
    At(at, OrdersEvent.OrderRefused(UpstreamId(id), highest))

private fun describe(action: OrdersAction): String? = when (action) {
    is OrdersAction.ReadState -> null
    OrdersAction.ReadProgress -> "read"
    is OrdersAction.WriteProgress -> "write ${action.progress.drained.keys.joinToString("+")}"
    is OrdersAction.Superseded -> "superseded by ${action.highest}"
    is OrdersAction.Send -> "${action.upstream.id} ${nameOf(action.order)} f${action.fencing}"
}

private fun nameOf(order: EngineOrder): String = when (order) {
    is EngineOrder.Drain -> if (order.isDraining) "drain" else "serve"
    is EngineOrder.Load -> "load"
    is EngineOrder.Role -> "role"
}

private fun run(script: List<At>): List<String> {
    val filter = OrdersFilter()
    return script.runningFold(OrdersState() to emptyList<String>()) { (state, _), at ->
        val step = filter.step(state, at.event, at.seconds.seconds)
        step.state to step.actions.mapNotNull(::describe)
    }.flatMap { it.second }
}

private fun started(plan: MaintenancePlan?, count: Int = 3, checksFencing: Boolean = true) =
    arrayOf(
        configured(0, plan, checksFencing, count),
        held(0),
        progress(0, version = 0),
    )

class OrdersFilterTest :
    FunSpec({
        context("maintenance") {
            withData(
                case(
                    "a drain is stored before the order is sent",
                    *started(drain("u1")),
                    state(1, "u1"),
                    state(1, "u2"),
                    progress(2, version = 1, "u1"),
                    then = listOf("read", "write u1", "u1 drain f1"),
                ),
                case(
                    "the second upstream drains after the first has no requests left",
                    *started(drain("u1", "u2")),
                    state(1, "u2"),
                    state(1, "u3"),
                    state(1, "u1"),
                    progress(2, version = 1, "u1"),
                    done(2, "u1"),
                    tick(3),
                    state(4, "u1", isDraining = true, running = 1),
                    tick(7),
                    state(7, "u1", isDraining = true, running = 0),
                    state(7, "u2"),
                    then = listOf("read", "write u2", "u1 drain f1", "write u1+u2"),
                ),
                case(
                    "an upstream is not drained if its service would have too few free slots",
                    *started(drain("u1"), count = 2),
                    state(1, "u2", running = 5),
                    state(1, "u1", running = 5),
                    then = listOf("read"),
                ),
                case(
                    "the last upstream of a service is not drained",
                    *started(drain("u1"), count = 1),
                    state(1, "u1", running = 0),
                    then = listOf("read"),
                ),
                case(
                    "a new lease holder continues the plan from the stored progress",
                    configured(0, drain("u1", "u2"), count = 3),
                    held(0, fencing = 2),
                    progress(0, version = 1, "u1"),
                    state(1, "u2"),
                    state(1, "u3"),
                    state(1, "u1"),
                    then = listOf("read", "u1 drain f2"),
                ),
                case(
                    "an upstream serves again when its plan is removed",
                    *started(plan = null),
                    progress(0, version = 1, "u1"),
                    state(1, "u1", isDraining = true),
                    done(1, "u1"),
                    tick(2),
                    state(4, "u1"),
                    then = listOf("read", "u1 serve f1", "write "),
                ),
                case(
                    "an upstream that drains without a stored order gets no order",
                    *started(plan = null),
                    state(1, "u2", isDraining = true),
                    then = listOf("read"),
                ),
                case(
                    "loads are limited to the rate of the weight store",
                    *started(load("u1", "u2", atOnce = 2)),
                    state(1, "u1"),
                    state(1, "u2"),
                    done(2, "u1"),
                    tick(2),
                    state(2, "u1", hasModel = true),
                    tick(4),
                    then = listOf("read", "u1 load f1", "u2 load f1"),
                ),
            )
        }

        context("leases") {
            withData(
                case(
                    "no order is sent after the lease ended while the holder was paused",
                    *started(drain("u1")),
                    state(1, "u1"),
                    state(1, "u2"),
                    progress(61, version = 1, "u1"),
                    then = listOf("read", "write u1"),
                ),
                case(
                    "a refused fencing number ends all orders, even if the old lease is renewed",
                    *started(drain("u1")),
                    state(1, "u1"),
                    state(1, "u2"),
                    progress(2, version = 1, "u1"),
                    refused(3, "u1", highest = 4),
                    held(4, fencing = 1, until = 90),
                    tick(10),
                    then = listOf("read", "write u1", "u1 drain f1", "superseded by 4"),
                ),
                case(
                    "without fencing checks, no order is sent before the delay has passed",
                    *started(drain("u1"), checksFencing = false),
                    state(1, "u1"),
                    state(1, "u2"),
                    progress(1, version = 1, "u1"),
                    tick(4),
                    then = listOf("read"),
                ),
                case(
                    "without fencing checks, an order follows a state read after the delay",
                    *started(load("u1"), checksFencing = false),
                    state(1, "u1"),
                    tick(5),
                    state(6, "u1"),
                    then = listOf("read", "u1 load f1"),
                ),
                case(
                    "a state that was requested under an earlier lease is ignored",
                    *started(load("u1")),
                    tick(1),
                    held(2, fencing = 2),
                    progress(2, version = 0),
                    state(3, "u1"),
                    then = listOf("read", "read"),
                ),
                case(
                    "after a failed progress write, the progress is read before any order",
                    *started(drain("u1")),
                    state(1, "u1"),
                    state(1, "u2"),
                    At(2, OrdersEvent.ProgressFailed),
                    progress(3, version = 5),
                    then = listOf("read", "write u1", "read", "write u1"),
                ),
                case(
                    "an order without an answer is sent again after the state is read",
                    *started(load("u1")),
                    state(1, "u1"),
                    tick(8),
                    state(8, "u1"),
                    then = listOf("read", "u1 load f1", "u1 load f1"),
                ),
            )
        }
    })

private suspend fun FunSpecContainerScope.withData(vararg cases: ScriptCase) =
    withData(cases.toList()) { case -> run(case.script) shouldBe case.actions }
