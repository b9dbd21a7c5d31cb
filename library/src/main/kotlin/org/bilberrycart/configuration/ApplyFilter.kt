package org.bilberrycart.configuration

import kotlin.time.Duration
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.withActions
import org.bilberrycart.store.Row
import org.bilberrycart.store.StoreResult

/** What applying a configuration reacts to. */
public sealed class ApplyEvent {
    /** Start. */
    public data object Begin : ApplyEvent()

    /** The store call that was asked for last ended with [result]. */
    public data class StoreAnswered(val result: StoreResult) : ApplyEvent()
}

/** What applying a configuration asks for. */
public sealed class ApplyAction {
    /** Read the head row. */
    public data object ReadHead : ApplyAction()

    /** Write the document and the head, if [head] is still the head row. */
    public data class Publish(val document: ConfigurationDocument, val head: Row?) :
        ApplyAction()

    /** Read the document of [version]. */
    public data class ReadBack(val version: Long) : ApplyAction()

    /** The end. */
    public data class Finish(val outcome: ApplyOutcome) : ApplyAction()
}

/** How far applying a configuration is. */
public enum class ApplyPhase { READING_HEAD, PUBLISHING, READING_BACK }

/**
 * The state of applying [document] on top of [base].
 *
 * @property mayBeWritten whether a write had an unknown outcome.
 * @property tries store calls made so far.
 */
public data class ApplyState(
    val base: Long,
    val document: ConfigurationDocument,
    val phase: ApplyPhase = ApplyPhase.READING_HEAD,
    val mayBeWritten: Boolean = false,
    val tries: Int = 0,
)

private typealias ApplyStep = Step<ApplyState, ApplyAction>

/** Decides how a configuration is applied: compare-and-set, then read back. */
public class ApplyFilter : Filter<ApplyState, ApplyEvent, ApplyAction> {
    override fun step(state: ApplyState, event: ApplyEvent, now: Duration): ApplyStep =
        when (event) {
            ApplyEvent.Begin -> state.ask(ApplyPhase.READING_HEAD, ApplyAction.ReadHead)
            is ApplyEvent.StoreAnswered -> state.answered(event.result)
        }

    private fun ApplyState.answered(result: StoreResult): ApplyStep = when (result) {
        is StoreResult.Found -> found(result.row)
        is StoreResult.Applied, is StoreResult.Conflict -> readBack()
        is StoreResult.UnknownOutcome -> copy(mayBeWritten = true).readBack()
        is StoreResult.Unavailable -> again()
        is StoreResult.Listed -> error("a scan was not asked for")
    }

    private fun ApplyState.found(row: Row?): ApplyStep = when (phase) {
        ApplyPhase.READING_HEAD, ApplyPhase.PUBLISHING -> headFound(row)
        ApplyPhase.READING_BACK -> when (row) {
            null -> ask(ApplyPhase.READING_HEAD, ApplyAction.ReadHead)
            else -> documentFound(ConfigurationStore.decodeDocument(row))
        }
    }

    private fun ApplyState.headFound(row: Row?): ApplyStep {
        val current = ConfigurationStore.decodeHead(row)
        return when {
            current == base -> ask(ApplyPhase.PUBLISHING, ApplyAction.Publish(document, row))
            current > base && mayBeWritten -> readBack()
            else -> finish(ApplyOutcome.Conflict(current))
        }
    }

    private fun ApplyState.documentFound(stored: ConfigurationDocument): ApplyStep = when {
        stored.publication == document.publication ->
            finish(ApplyOutcome.Accepted(stored.version))
        else -> finish(ApplyOutcome.Conflict(stored.version))
    }

    private fun ApplyState.readBack(): ApplyStep =
        ask(ApplyPhase.READING_BACK, ApplyAction.ReadBack(document.version))

    private fun ApplyState.again(): ApplyStep = when (phase) {
        ApplyPhase.READING_HEAD, ApplyPhase.PUBLISHING ->
            ask(ApplyPhase.READING_HEAD, ApplyAction.ReadHead)
        ApplyPhase.READING_BACK -> copy(mayBeWritten = true).readBack()
    }

    private fun ApplyState.ask(phase: ApplyPhase, action: ApplyAction): ApplyStep = when {
        tries < MAX_TRIES -> copy(phase = phase, tries = tries + 1).withActions(action)
        mayBeWritten -> finish(ApplyOutcome.Unknown)
        else -> finish(ApplyOutcome.Unavailable)
    }

    private fun ApplyState.finish(outcome: ApplyOutcome): ApplyStep =
        withActions(ApplyAction.Finish(outcome))

    private companion object {
        const val MAX_TRIES = 20
    }
}
