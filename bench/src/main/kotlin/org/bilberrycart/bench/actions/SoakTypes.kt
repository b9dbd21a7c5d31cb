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

/** A fault planted into the fakes, so that a test can see the history check find it. */
enum class PlantedFault {
    /** The fakes keep their promises. */
    NONE,

    /** The table applies an insert without its condition. */
    UNCONDITIONAL_INSERT,
}

/** One thing that happens in a simulated run, at [at] by the run's clock. */
data class Scheduled(val at: Duration, val number: Long, val happening: Happening)

/** What can happen in a simulated run. */
sealed class Happening {
    /** [event] reaches the node [node], unless it was restarted since [incarnation]. */
    data class AtNode(val node: Int, val incarnation: Int, val event: IdempotencyEvent) :
        Happening()

    /** [action] reaches the table. */
    data class AtTable(val node: Int, val incarnation: Int, val action: IdempotencyAction.Store) :
        Happening()

    /** Dispatch on the node checks the deadline of [placement], then sends it. */
    data class AtDispatch(val node: Int, val incarnation: Int, val placement: Placement) :
        Happening()

    /** The bytes of [placement] reach the service. */
    data class AtService(val node: Int, val incarnation: Int, val placement: Placement) :
        Happening()

    /** The node [node] crashes and comes back empty. */
    data class Crash(val node: Int) : Happening()

    /** The node [node] does nothing for [length]. */
    data class Pause(val node: Int, val length: Duration) : Happening()

    /** The table answers nothing for [length]. */
    data class TableOutage(val length: Duration) : Happening()

    /** The tick of the node [node]. */
    data class TickNode(val node: Int) : Happening()
}

/** One simulated node. */
data class SoakNode(
    val state: IdempotencyState,
    val incarnation: Int = 0,
    val pausedUntil: Duration = Duration.ZERO,
)

/** One run of a call by the service. */
data class Execution(val key: RecordKey, val attempt: AttemptId)

/** What a caller was told. */
data class Answer(val request: RequestId, val part: AnswerPart)

/** A simulated run and its history. */
data class SoakWorld(
    val seed: Long,
    val planted: PlantedFault,
    val now: Duration = Duration.ZERO,
    val queue: PersistentList<Scheduled> = persistentListOf(),
    val nodes: PersistentList<SoakNode> = persistentListOf(),
    val rows: PersistentMap<RecordKey, StoredRecord> = persistentMapOf(),
    val revision: Long = 0,
    val tableDownUntil: Duration = Duration.ZERO,
    val calls: PersistentMap<RequestId, ServiceCall> = persistentMapOf(),
    val executions: PersistentList<Execution> = persistentListOf(),
    val answers: PersistentList<Answer> = persistentListOf(),
    val faults: Int = 0,
    val scheduled: Long = 0,
)

/** What one seed brought. */
data class SeedResult(
    val seed: Long,
    val calls: Int,
    val faults: Int,
    val executions: Int,
    val answers: Map<String, Int>,
    val violations: List<String>,
)
