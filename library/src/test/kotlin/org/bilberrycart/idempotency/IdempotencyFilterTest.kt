package org.bilberrycart.idempotency

import io.kotest.core.spec.style.FunSpec
import io.kotest.core.spec.style.scopes.FunSpecContainerScope
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.IdempotencyKey
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RepeatMode
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.ServiceCall
import org.bilberrycart.model.ServiceId

private data class ScriptedEvent(val millis: Long, val event: IdempotencyEvent)

private data class ScriptCase(
    val name: String,
    val script: List<ScriptedEvent>,
    val actions: List<String>,
) : WithDataTestName {
    override fun dataTestName(): String = name
}

private fun case(name: String, vararg script: ScriptedEvent, then: List<String>) =
    ScriptCase(name, script.toList(), then)

private fun callOf(id: String, mode: RepeatMode, body: String = "b") = ServiceCall(
    id = RequestId(id),
    organisation = OrganisationId("o"),
    service = ServiceId("s"),
    requestClass = RequestClass.ACTION,
    fingerprint = Fingerprint(body),
    arrivedAt = 0.seconds,
    deadline = 2.seconds,
    operation = "book",
    body = body,
    repeatMode = mode,
    key = IdempotencyKey("k").takeIf { mode != RepeatMode.IDEMPOTENT },
)

private fun arrive(
    at: Long = 0,
    id: String = "r1",
    mode: RepeatMode = RepeatMode.NEVER,
    body: String = "b",
) = ScriptedEvent(at, IdempotencyEvent.Arrived(callOf(id, mode, body)))

private fun wrote(at: Long, storeCallId: Long, result: WriteResult, id: String = "r1") =
    ScriptedEvent(at, IdempotencyEvent.RecordWritten(RequestId(id), storeCallId, result))

private fun read(at: Long, storeCallId: Long, result: ReadResult) =
    ScriptedEvent(at, IdempotencyEvent.RecordRead(RequestId("r1"), storeCallId, result))

private fun attempt(number: Int) = AttemptId(RequestId("r1"), epoch = 1, number = number)

private fun answered(at: Long, number: Int = 1, status: Int = 200) =
    ScriptedEvent(at, IdempotencyEvent.Answered(attempt(number), status, "ok"))

private fun lost(at: Long, mayHaveRun: Boolean, number: Int = 1) =
    ScriptedEvent(at, IdempotencyEvent.Lost(attempt(number), LossCause.RESET, mayHaveRun))

private fun unplaceable(at: Long) =
    ScriptedEvent(at, IdempotencyEvent.Unplaceable(attempt(1), ResultCode.NO_UPSTREAM))

private fun tick(at: Long) = ScriptedEvent(at, IdempotencyEvent.Tick)

private fun own(progress: Progress = Progress.Pending, version: Long = 1) =
    stored(progress, version, owner = "n.1")

private fun other(progress: Progress, body: String = "b") =
    stored(progress, version = 7, owner = "m.1", body = body)

private fun stored(progress: Progress, version: Long, owner: String, body: String = "b") =
    StoredRecord(
        CallRecord(CallOwner(owner), "book", Fingerprint(body), budgetMillis = 2_000, progress),
        version,
    )

private val written = WriteResult.Written(version = 1)

private fun conflict(record: StoredRecord) = WriteResult.Conflict(record)

private fun describe(action: IdempotencyAction): String = when (action) {
    is IdempotencyAction.Insert -> "insert" + action.expected?.let { " over $it" }.orEmpty()
    is IdempotencyAction.ReadBack -> "read"
    is IdempotencyAction.CloseRecord -> "close"
    is IdempotencyAction.StoreOutcome -> "store ${nameOf(action.record.progress)}"
    is IdempotencyAction.Place -> "place ${action.placement.attempt.number}"
    is IdempotencyAction.Cancel -> "cancel ${action.attempt.number}"
    is IdempotencyAction.Deliver -> when (val part = action.part) {
        is AnswerPart.Failed -> part.code.name
        is AnswerPart.Reply -> "reply ${part.status}"
        else -> part.toString()
    }
}

private fun nameOf(progress: Progress): String = when (progress) {
    is Progress.Done -> "done"
    Progress.NotRun -> "not run"
    Progress.Pending -> "pending"
    Progress.Unknown -> "unknown"
}

private fun run(script: List<ScriptedEvent>): List<String> {
    val filter = IdempotencyFilter()
    val initial = IdempotencyState(instance = "n")
    return script.runningFold(initial to emptyList<String>()) { (state, _), at ->
        val step = filter.step(state, at.event, at.millis.milliseconds)
        step.state to step.actions.map(::describe)
    }.flatMap { it.second }
}

private val INSERTED = arrayOf(arrive(), wrote(10, storeCallId = 1, written))

class IdempotencyFilterTest :
    FunSpec({
        context("a call that may run at most once, at the insert") {
            withData(
                case("no fault", *INSERTED, then = listOf("insert", "place 1")),
                case(
                    "table down: refused at once, no claim about earlier requests with the key",
                    arrive(),
                    wrote(1, 1, WriteResult.Refused),
                    then = listOf("insert", "STORE_UNAVAILABLE"),
                ),
                case(
                    "insert with an unknown outcome that took effect: dispatched",
                    arrive(),
                    wrote(700, 1, WriteResult.Unknown),
                    read(720, 2, ReadResult.Found(own())),
                    then = listOf("insert", "read", "place 1"),
                ),
                case(
                    "insert with an unknown outcome and no visible effect: inserted again",
                    arrive(),
                    wrote(700, 1, WriteResult.Unknown),
                    read(720, 2, ReadResult.Found(stored = null)),
                    tick(900),
                    wrote(910, 3, conflict(own())),
                    then = listOf("insert", "read", "insert", "place 1"),
                ),
                case(
                    "insert with an unknown outcome, table down until the deadline",
                    arrive(),
                    wrote(700, 1, WriteResult.Unknown),
                    read(720, 2, ReadResult.Failed),
                    tick(900),
                    tick(2_000),
                    read(2_500, 3, ReadResult.Found(own())),
                    then = listOf("insert", "read", "read", "OUTCOME_UNKNOWN"),
                ),
                case(
                    "insert refused after one with an unknown outcome: not reported as not run",
                    arrive(),
                    wrote(700, 1, WriteResult.Unknown),
                    read(720, 2, ReadResult.Found(stored = null)),
                    tick(900),
                    wrote(910, 3, WriteResult.Refused),
                    then = listOf("insert", "read", "insert"),
                ),
                case(
                    "node paused past the deadline: record closed, call not sent",
                    arrive(),
                    wrote(2_500, 1, written),
                    wrote(2_510, 2, WriteResult.Written(version = 2)),
                    then = listOf("insert", "close", "NOT_RUN"),
                ),
                case(
                    "deadline passes during the insert: not sent when the insert succeeds",
                    arrive(),
                    tick(2_000),
                    wrote(2_100, 1, written),
                    then = listOf("insert", "OUTCOME_UNKNOWN"),
                ),
            )
        }

        context("a call that may run at most once, after the insert") {
            withData(
                case(
                    "answered: the answer is delivered and stored",
                    *INSERTED,
                    answered(20),
                    wrote(30, 2, WriteResult.Written(version = 2)),
                    then = listOf("insert", "place 1", "reply 200", "store done"),
                ),
                case(
                    "lost before a byte was sent: retried",
                    *INSERTED,
                    lost(20, mayHaveRun = false),
                    tick(200),
                    then = listOf("insert", "place 1", "place 2"),
                ),
                case(
                    "reset while it may run: never sent again",
                    *INSERTED,
                    lost(20, mayHaveRun = true),
                    tick(200),
                    answered(300),
                    then = listOf("insert", "place 1", "OUTCOME_UNKNOWN", "store unknown"),
                ),
                case(
                    "no upstream: record closed before NOT_RUN is answered",
                    *INSERTED,
                    unplaceable(20),
                    wrote(30, 2, WriteResult.Written(version = 2)),
                    then = listOf("insert", "place 1", "close", "NOT_RUN"),
                ),
                case(
                    "not sent by the deadline: record closed before NOT_RUN is answered",
                    *INSERTED,
                    lost(2_010, mayHaveRun = false),
                    wrote(2_020, 2, WriteResult.Written(version = 2)),
                    then = listOf("insert", "place 1", "close", "NOT_RUN"),
                ),
                case(
                    "answered after the deadline: stored for repeats",
                    *INSERTED,
                    tick(2_100),
                    tick(2_300),
                    answered(9_000),
                    then = listOf("insert", "place 1", "OUTCOME_UNKNOWN", "store done"),
                ),
                case(
                    "never answered: stored as unknown",
                    *INSERTED,
                    tick(2_300),
                    tick(40_000),
                    then = listOf("insert", "place 1", "OUTCOME_UNKNOWN", "store unknown"),
                ),
                case(
                    "known as not sent after OUTCOME_UNKNOWN was answered: no second answer",
                    *INSERTED,
                    tick(2_300),
                    lost(2_400, mayHaveRun = false),
                    then = listOf("insert", "place 1", "OUTCOME_UNKNOWN", "store unknown"),
                ),
            )
        }

        context("closing records and storing outcomes while the table fails") {
            val closing = arrayOf(*INSERTED, unplaceable(20))
            val storing = arrayOf(*INSERTED, answered(20))
            val closed = listOf("insert", "place 1", "close")
            val done = listOf("insert", "place 1", "reply 200", "store done")
            withData(
                case(
                    "close: outcome unknown, it took effect",
                    *closing,
                    wrote(700, 2, WriteResult.Unknown),
                    read(720, 3, ReadResult.Found(own(Progress.NotRun, version = 2))),
                    then = closed + listOf("read", "NOT_RUN"),
                ),
                case(
                    "close: outcome unknown, the read is out of date",
                    *closing,
                    wrote(700, 2, WriteResult.Unknown),
                    read(720, 3, ReadResult.Found(own())),
                    wrote(730, 4, conflict(own(Progress.NotRun, version = 2))),
                    then = closed + listOf("read", "close", "NOT_RUN"),
                ),
                case(
                    "close: table down until closeGrace is over",
                    *closing,
                    wrote(700, 2, WriteResult.Refused),
                    tick(4_000),
                    then = closed + "OUTCOME_UNKNOWN",
                ),
                case(
                    "store: table down, then up",
                    *storing,
                    wrote(30, 2, WriteResult.Refused),
                    tick(500),
                    wrote(510, 3, WriteResult.Written(version = 2)),
                    tick(600),
                    then = done + "store done",
                ),
                case(
                    "store: outcome unknown, it had no effect",
                    *storing,
                    wrote(700, 2, WriteResult.Unknown),
                    read(720, 3, ReadResult.Found(own())),
                    then = done + listOf("read", "store done"),
                ),
                case(
                    "store: table down for longer than storeWindow: given up after the answer",
                    *storing,
                    wrote(30, 2, WriteResult.Refused),
                    tick(70_000),
                    arrive(70_001, id = "r2"),
                    then = done + listOf("DEADLINE_PASSED"),
                ),
            )
        }

        context("repeats") {
            withData(
                case(
                    "on the same node while the first runs",
                    *INSERTED,
                    arrive(20, id = "r2"),
                    then = listOf("insert", "place 1", "IN_PROGRESS"),
                ),
                case(
                    "on the same node while the outcome is stored",
                    *INSERTED,
                    answered(20),
                    arrive(21, id = "r2"),
                    then = listOf("insert", "place 1", "reply 200", "store done", "reply 200"),
                ),
                case(
                    "with another body",
                    *INSERTED,
                    arrive(20, id = "r2", body = "x"),
                    then = listOf("insert", "place 1", "KEY_REUSED"),
                ),
                *listOf(
                    other(Progress.Pending) to listOf("insert", "IN_PROGRESS"),
                    other(Progress.Done(200, "ok")) to listOf("insert", "reply 200"),
                    other(Progress.Unknown) to listOf("insert", "OUTCOME_UNKNOWN"),
                    other(Progress.NotRun) to listOf("insert", "insert over 7"),
                    other(Progress.Pending, body = "x") to listOf("insert", "KEY_REUSED"),
                ).map { (record, actions) ->
                    case(
                        "other owner's record ${nameOf(record.record.progress)}: ${actions.last()}",
                        arrive(),
                        wrote(10, 1, conflict(record)),
                        then = actions,
                    )
                }.toTypedArray(),
            )
        }

        context("calls that may be repeated") {
            val keyed = arrive(mode = RepeatMode.KEYED)
            val idempotent = arrive(mode = RepeatMode.IDEMPOTENT)
            withData(
                case(
                    "keyed, reset while it may run: sent again with its key",
                    keyed,
                    lost(20, mayHaveRun = true),
                    tick(200),
                    answered(210, number = 2),
                    then = listOf("place 1", "place 2", "reply 200"),
                ),
                case(
                    "keyed, no answer by the deadline",
                    keyed,
                    tick(2_300),
                    then = listOf("place 1", "cancel 1", "OUTCOME_UNKNOWN"),
                ),
                case(
                    "idempotent, service unavailable: retried",
                    idempotent,
                    answered(20, status = 503),
                    tick(200),
                    answered(210, number = 2),
                    then = listOf("place 1", "place 2", "reply 200"),
                ),
                case(
                    "idempotent, answer of an earlier attempt: ignored",
                    idempotent,
                    lost(20, mayHaveRun = true),
                    tick(200),
                    answered(210, number = 1),
                    then = listOf("place 1", "place 2"),
                ),
                case(
                    "idempotent, lost too late for a retry",
                    idempotent,
                    lost(1_999, mayHaveRun = true),
                    then = listOf("place 1", "UPSTREAM_FAILED"),
                ),
            )
        }
    })

private suspend fun FunSpecContainerScope.withData(vararg cases: ScriptCase) =
    withData(cases.toList()) { case -> run(case.script) shouldBe case.actions }
