package org.bilberrycart.journal

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.AttemptOutcome
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.FinishReason
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.LossCause
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.ResultCode
import org.bilberrycart.model.Sampling
import org.bilberrycart.model.ServiceId
import org.bilberrycart.model.Token
import org.bilberrycart.model.UpstreamId

private val request = GenerationRequest(
    id = RequestId("r"),
    organisation = OrganisationId("o"),
    service = ServiceId("s"),
    requestClass = RequestClass.LONG_DRAFT,
    fingerprint = Fingerprint("f"),
    arrivedAt = Duration.ZERO,
    deadline = 60.seconds,
    model = ModelRef("m"),
    prompt = "p",
    sampling = Sampling(maxTokens = 10),
)
private val a = UpstreamId("a")
private val b = UpstreamId("b")
private val c = UpstreamId("c")
private val policy = GenerationPolicy(
    acceptLimit = 500.milliseconds,
    silenceFloor = 250.milliseconds,
    silenceCap = 2.seconds,
    firstTokenLimit = 5.seconds,
    maxLosses = 3,
)
private val hedged = policy.copy(resume = ResumePolicy.Hedged(engines = 2))

private fun attempt(number: Int, epoch: Int = 1) = AttemptId(request.id, epoch, number)

private fun opened(policy: GenerationPolicy) = JournalEvent.Opened(request, policy)

private fun placed(number: Int, upstream: UpstreamId) =
    JournalEvent.Placed(attempt(number), upstream)

private fun accepted(number: Int) = JournalEvent.Accepted(attempt(number))

private fun token(number: Int, index: Int) =
    JournalEvent.TokenArrived(attempt(number), Token(index, "t$index"))

private fun lost(number: Int, cause: LossCause = LossCause.RESET) =
    JournalEvent.AttemptLost(attempt(number), cause)

private fun finished(number: Int, count: Int) =
    JournalEvent.AttemptFinished(attempt(number), FinishReason.STOP, count)

private fun probed(number: Int, isAlive: Boolean) =
    JournalEvent.ProbeEnded(attempt(number), isAlive)

private fun append(index: Int) = JournalAction.Append(request.id, 1, Token(index, "t$index"))

private fun complete(end: AnswerPart) = JournalAction.Complete(request.id, 1, end)

private fun failed(code: ResultCode) = complete(AnswerPart.Failed(code))

private fun report(number: Int, upstream: UpstreamId, outcome: AttemptOutcome) =
    JournalAction.ReportOutcome(attempt(number), upstream, outcome)

private fun cancel(number: Int) = JournalAction.CancelAttempt(attempt(number))

private fun countLoss(number: Int, cause: LossCause = LossCause.RESET) =
    JournalAction.CountLoss(attempt(number), cause)

private fun started(of: GenerationPolicy = policy) =
    listOf(opened(of), placed(1, a), accepted(1), token(1, 0), token(1, 1))

/** Sends [before] at intervals of 10 ms, then [last] after [wait], which must yield [expected]. */
private data class JournalCase(
    val name: String,
    val before: List<JournalEvent>,
    val last: JournalEvent,
    val expected: List<JournalAction>,
    val wait: Duration = 10.milliseconds,
) : WithDataTestName {
    override fun dataTestName(): String = name

    fun lastActions(): List<JournalAction> {
        val filter = JournalFilter()
        val gap = 10.milliseconds
        val prepared = before.foldIndexed(JournalState()) { index, state, event ->
            filter.step(state, event, gap * index).state
        }
        return filter.step(prepared, last, gap * (before.size - 1) + wait).actions
    }

    /** Returns the placements that the last event requests. */
    fun placements() = lastActions().filterIsInstance<JournalAction.Resume>().map { it.placement }
}

class JournalFilterTest :
    FunSpec({
        context("only the current attempt's next token is appended") {
            withData(
                JournalCase(
                    name = "the next token is appended",
                    before = started(),
                    last = token(1, 2),
                    expected = listOf(append(2)),
                ),
                JournalCase(
                    name = "a repeated token is counted and dropped",
                    before = started(),
                    last = token(1, 1),
                    expected = listOf(JournalAction.CountStray(attempt(1), 1)),
                ),
                JournalCase(
                    name = "a late token of a lost attempt is counted and dropped",
                    before = started() + lost(1) + placed(2, b),
                    last = token(1, 2),
                    expected = listOf(JournalAction.CountStray(attempt(1), 2)),
                ),
                JournalCase(
                    name = "the first token after a loss ends the interruption",
                    before = started() + lost(1) + placed(2, b) + accepted(2),
                    last = token(2, 2),
                    expected = listOf(
                        append(2),
                        JournalAction.CountResume(request.id, 40.milliseconds),
                    ),
                ),
                JournalCase(
                    name = "the first token of a hedged resume cancels the other attempt",
                    before = started(hedged) + lost(1) + placed(2, b) + placed(3, c),
                    last = token(3, 2),
                    expected = listOf(
                        append(2),
                        cancel(2),
                        report(2, b, AttemptOutcome.Cancelled),
                        JournalAction.CountResume(request.id, 40.milliseconds),
                    ),
                ),
                JournalCase(
                    name = "a hedged attempt that waits for a slot is withdrawn",
                    before = started(hedged) + lost(1) + placed(2, b),
                    last = token(2, 2),
                    expected = listOf(
                        append(2),
                        JournalAction.Withdraw(attempt(3)),
                        JournalAction.CountResume(request.id, 30.milliseconds),
                    ),
                ),
                JournalCase(
                    name = "a token for an unknown generation is counted and dropped",
                    before = listOf(JournalEvent.Tick),
                    last = token(1, 0),
                    expected = listOf(JournalAction.CountStray(attempt(1), 0)),
                ),
                JournalCase(
                    name = "an attempt placed after the generation ended is cancelled",
                    before = listOf(JournalEvent.Tick),
                    last = placed(1, a),
                    expected = listOf(cancel(1), report(1, a, AttemptOutcome.Cancelled)),
                ),
            ) { it.lastActions() shouldBe it.expected }
        }

        context("a finished attempt ends the answer only if all its tokens arrived") {
            withData(
                JournalCase(
                    name = "a finish at the next index completes the answer",
                    before = started(),
                    last = finished(1, 2),
                    expected = listOf(
                        report(1, a, AttemptOutcome.Completed),
                        complete(AnswerPart.Finished(FinishReason.STOP, 2)),
                    ),
                ),
                JournalCase(
                    name = "a late finish of a lost attempt is ignored",
                    before = started() + lost(1) + placed(2, b),
                    last = finished(1, 2),
                    expected = emptyList(),
                ),
                JournalCase(
                    name = "the answer fails with a result code when no engine matches",
                    before = started() + lost(1),
                    last = JournalEvent.Unplaceable(attempt(2), ResultCode.NO_MATCHING_ENGINE),
                    expected = listOf(failed(ResultCode.NO_MATCHING_ENGINE)),
                ),
                JournalCase(
                    name = "one unplaceable attempt of a hedged resume leaves the other",
                    before = started(hedged) + lost(1) + placed(2, b),
                    last = JournalEvent.Unplaceable(attempt(3), ResultCode.NO_MATCHING_ENGINE),
                    expected = emptyList(),
                ),
                JournalCase(
                    name = "a cancelled generation stops its engine",
                    before = started(),
                    last = JournalEvent.Stop(request.id, ResultCode.CANCELLED),
                    expected = listOf(
                        cancel(1),
                        report(1, a, AttemptOutcome.Cancelled),
                        failed(ResultCode.CANCELLED),
                    ),
                ),
                JournalCase(
                    name = "the deadline ends the answer",
                    before = started(),
                    last = JournalEvent.Tick,
                    wait = 60.seconds,
                    expected = listOf(
                        cancel(1),
                        report(1, a, AttemptOutcome.Cancelled),
                        failed(ResultCode.DEADLINE_EXCEEDED),
                    ),
                ),
            ) { it.lastActions() shouldBe it.expected }
        }

        context("a silent engine is probed and is lost if it does not respond") {
            withData(
                JournalCase(
                    name = "a short gap does not lead to a probe",
                    before = started(),
                    last = JournalEvent.Tick,
                    wait = 200.milliseconds,
                    expected = emptyList(),
                ),
                JournalCase(
                    name = "a gap as long as the floor leads to a probe",
                    before = started(),
                    last = JournalEvent.Tick,
                    wait = 250.milliseconds,
                    expected = listOf(JournalAction.Probe(attempt(1))),
                ),
                JournalCase(
                    name = "an engine is probed when the accept limit has passed",
                    before = listOf(opened(policy), placed(1, a)),
                    last = JournalEvent.Tick,
                    wait = 500.milliseconds,
                    expected = listOf(JournalAction.Probe(attempt(1))),
                ),
                JournalCase(
                    name = "an accepted attempt may exceed the accept limit",
                    before = listOf(opened(policy), placed(1, a), accepted(1)),
                    last = JournalEvent.Tick,
                    wait = 4.seconds,
                    expected = emptyList(),
                ),
                JournalCase(
                    name = "a pending probe is not repeated",
                    before = started() + List(40) { JournalEvent.Tick },
                    last = JournalEvent.Tick,
                    expected = emptyList(),
                ),
                JournalCase(
                    name = "the stream of an engine that responds is reopened at the next index",
                    before = started() + List(40) { JournalEvent.Tick },
                    last = probed(1, isAlive = true),
                    expected = listOf(JournalAction.Reattach(attempt(1), from = 2)),
                ),
                JournalCase(
                    name = "a probe result that arrives after a token is ignored",
                    before = started() + List(40) { JournalEvent.Tick } + token(1, 2),
                    last = probed(1, isAlive = false),
                    expected = emptyList(),
                ),
            ) { it.lastActions() shouldBe it.expected }
        }

        context("a lost attempt is reported once and replaced by one new attempt") {
            withData(
                JournalCase(
                    name = "a reset connection loses the attempt",
                    before = started(),
                    last = lost(1),
                    expected = listOf(
                        cancel(1),
                        report(1, a, AttemptOutcome.Lost(LossCause.RESET)),
                        countLoss(1),
                    ),
                ),
                JournalCase(
                    name = "a gap in the indexes loses the attempt",
                    before = started(),
                    last = token(1, 3),
                    expected = listOf(
                        JournalAction.CountStray(attempt(1), 3),
                        cancel(1),
                        report(1, a, AttemptOutcome.Lost(LossCause.PROTOCOL)),
                        countLoss(1, LossCause.PROTOCOL),
                    ),
                ),
                JournalCase(
                    name = "a finish with a wrong count loses the attempt",
                    before = started(),
                    last = finished(1, 3),
                    expected = listOf(
                        cancel(1),
                        report(1, a, AttemptOutcome.Lost(LossCause.PROTOCOL)),
                        countLoss(1, LossCause.PROTOCOL),
                    ),
                ),
                JournalCase(
                    name = "an attempt whose engine does not respond to the probe is lost",
                    before = started() + List(40) { JournalEvent.Tick },
                    last = probed(1, isAlive = false),
                    expected = listOf(
                        cancel(1),
                        report(1, a, AttemptOutcome.Lost(LossCause.SILENT)),
                        countLoss(1, LossCause.SILENT),
                    ),
                ),
                JournalCase(
                    name = "an attempt on an upstream that is gone is lost",
                    before = started(),
                    last = JournalEvent.UpstreamGone(a),
                    expected = listOf(
                        cancel(1),
                        report(1, a, AttemptOutcome.Lost(LossCause.GONE)),
                        countLoss(1, LossCause.GONE),
                    ),
                ),
            ) { case ->
                case.lastActions().filter { it !is JournalAction.Resume } shouldBe case.expected
                val placement = case.placements().single()
                placement.attempt shouldBe attempt(2)
                placement.prefix.map(Token::index) shouldBe listOf(0, 1)
                placement.avoid shouldBe setOf(a)
            }
        }

        test("a hedged resume starts two attempts") {
            val case = JournalCase("", started(hedged), lost(1), expected = emptyList())
            case.placements().map { it.attempt } shouldBe listOf(attempt(2), attempt(3))
        }

        test("a generation fails when its losses reach the limit") {
            val losses = listOf(lost(1), placed(2, b), lost(2), placed(3, c))
            val case = JournalCase("", started() + losses, lost(3), expected = emptyList())
            case.lastActions().last() shouldBe failed(ResultCode.RETRIES_EXHAUSTED)
        }
    })
