package org.bilberrycart.bench.actions

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.bilberrycart.idempotency.IdempotencyAction
import org.bilberrycart.idempotency.IdempotencyEvent
import org.bilberrycart.idempotency.IdempotencyState
import org.bilberrycart.idempotency.RecordKey
import org.bilberrycart.idempotency.StoredRecord
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.Placement
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ServiceCall

/** A deliberate bug of the fakes, with which tests verify that [HistoryCheck] detects it. */
enum class InjectedBug {
    /** The fakes have no deliberate bug. */
    NONE,

    /** The table applies an insert even if the row already exists. */
    UNCONDITIONAL_INSERT,
}

/**
 * An event that is due in a simulated run.
 *
 * @property at the simulated time at which the event occurs.
 * @property number orders events that are due at the same time.
 */
data class ScheduledEvent(val at: Duration, val number: Long, val event: SimulationEvent)

/** An event that can occur in a simulated run. */
sealed class SimulationEvent {
    /** [event] reaches [node], unless the node has restarted since [incarnation]. */
    data class NodeInput(val node: Int, val incarnation: Int, val event: IdempotencyEvent) :
        SimulationEvent()

    /** The store call [action] of a node reaches the table. */
    data class StoreCall(val node: Int, val incarnation: Int, val action: IdempotencyAction.Store) :
        SimulationEvent()

    /** The dispatch duty of a node checks the deadline of [placement], then sends it. */
    data class Dispatch(val node: Int, val incarnation: Int, val placement: Placement) :
        SimulationEvent()

    /** The request of [placement] reaches the service. */
    data class ServiceArrival(val node: Int, val incarnation: Int, val placement: Placement) :
        SimulationEvent()

    /** [node] crashes and restarts with no state. */
    data class NodeCrash(val node: Int) : SimulationEvent()

    /** [node] handles no events for [length]; they are delayed until then. */
    data class NodePause(val node: Int, val length: Duration) : SimulationEvent()

    /** The table refuses or drops all store calls for [length]. */
    data class TableOutage(val length: Duration) : SimulationEvent()

    /** The periodic tick of [node], which schedules the next one. */
    data class NodeTick(val node: Int) : SimulationEvent()
}

/**
 * A simulated node.
 *
 * @property incarnation how often the node has restarted.
 * @property pausedUntil the simulated time until which the node handles no events.
 */
data class SimulatedNode(
    val state: IdempotencyState,
    val incarnation: Int = 0,
    val pausedUntil: Duration = Duration.ZERO,
)

/** One execution of a call by the service. */
data class Execution(val key: RecordKey, val attempt: AttemptId)

/** The answer that the caller of [request] received. */
data class Answer(val request: RequestId, val part: AnswerPart)

/**
 * The state of a simulated run and the history that is checked at its end.
 *
 * @property now the simulated time.
 * @property queue the events that are due.
 * @property rows the rows of the table.
 * @property revision the version of the row written last.
 * @property tableDownUntil the simulated time until which the table has an outage.
 * @property executions the calls that the service executed, in order.
 * @property answers the answers that callers received, in order.
 * @property faults the number of faults that occurred.
 * @property scheduled the number of events scheduled so far.
 */
data class Simulation(
    val seed: Long,
    val injectedBug: InjectedBug,
    val now: Duration = Duration.ZERO,
    val queue: PersistentList<ScheduledEvent> = persistentListOf(),
    val nodes: PersistentList<SimulatedNode> = persistentListOf(),
    val rows: PersistentMap<RecordKey, StoredRecord> = persistentMapOf(),
    val revision: Long = 0,
    val tableDownUntil: Duration = Duration.ZERO,
    val calls: PersistentMap<RequestId, ServiceCall> = persistentMapOf(),
    val executions: PersistentList<Execution> = persistentListOf(),
    val answers: PersistentList<Answer> = persistentListOf(),
    val faults: Int = 0,
    val scheduled: Long = 0,
)

/** The counts and violations of the run with one seed. */
data class SeedResult(
    val seed: Long,
    val calls: Int,
    val faults: Int,
    val executions: Int,
    val answers: Map<String, Int>,
    val violations: List<String>,
)
