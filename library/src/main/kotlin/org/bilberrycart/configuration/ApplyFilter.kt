package org.bilberrycart.configuration

import kotlin.time.Duration
import org.bilberrycart.pipeline.Filter
import org.bilberrycart.pipeline.Step
import org.bilberrycart.pipeline.withActions
import org.bilberrycart.store.Row
import org.bilberrycart.store.StoreResult

/** An event while a configuration is applied. */
public sealed class ApplyEvent {
    /** Start to apply the configuration. */
    public data object Start : ApplyEvent()

    /** The store call that was requested last returned [result]. */
    public data class StoreAnswered(val result: StoreResult) : ApplyEvent()
}

/** An action that applying a configuration requires. */
public sealed class ApplyAction {
    /** Read the head row. */
    public data object ReadHead : ApplyAction()

    /** Write [document] and make it the newest, if [head] is still the head row. */
    public data class Publish(val document: ConfigurationDocument, val head: Row?) :
        ApplyAction()

    /** Read the document of [version] to see whether it was written. */
    public data class ReadBack(val version: Long) : ApplyAction()

    /** Stop with [outcome]. */
    public data class Finish(val outcome: ApplyOutcome) : ApplyAction()
}

/** The step of applying a configuration that is in progress. */
public enum class ApplyPhase { READING_HEAD, PUBLISHING, READING_BACK }

/**
 * The state of applying [document] on top of [base].
 *
 * @property mayHaveBeenWritten whether a write had an unknown outcome.
 * @property storeCalls the number of store calls made so far.
 */
public data class ApplyState(
    val base: Long,
    val document: ConfigurationDocument,
    val phase: ApplyPhase = ApplyPhase.READING_HEAD,
    val mayHaveBeenWritten: Boolean = false,
    val storeCalls: Int = 0,
)

private typealias ApplyStep = Step<ApplyState, ApplyAction>

/**
 * Decides how a configuration is applied: writes it on condition that its base is still the newest
 * version, then reads it back, so that a write with an unknown outcome is resolved too.
 */
public class ApplyFilter : Filter<ApplyState, ApplyEvent, ApplyAction> {
    override fun step(state: ApplyState, event: ApplyEvent, now: Duration): ApplyStep =
        when (event) {
            ApplyEvent.Start -> state.request(ApplyPhase.READING_HEAD, ApplyAction.ReadHead)
            is ApplyEvent.StoreAnswered -> state.answered(event.result)
        }

    private fun ApplyState.answered(result: StoreResult): ApplyStep = when (result) {
        is StoreResult.Found -> rowRead(result.row)
        is StoreResult.Applied, is StoreResult.Conflict -> readBack()
        is StoreResult.UnknownOutcome -> copy(mayHaveBeenWritten = true).readBack()
        is StoreResult.Unavailable -> retry()
        is StoreResult.Listed -> error("unexpected result of a scan")
    }

    private fun ApplyState.rowRead(row: Row?): ApplyStep = when (phase) {
        ApplyPhase.READING_HEAD, ApplyPhase.PUBLISHING -> headRead(row)
        ApplyPhase.READING_BACK -> when (row) {
            null -> request(ApplyPhase.READING_HEAD, ApplyAction.ReadHead)
            else -> documentRead(ConfigurationStore.decodeDocument(row))
        }
    }

    private fun ApplyState.headRead(row: Row?): ApplyStep {
        val current = ConfigurationStore.decodeHead(row)
        return when {
            current == base -> request(ApplyPhase.PUBLISHING, ApplyAction.Publish(document, row))
            current > base && mayHaveBeenWritten -> readBack()
            else -> finish(ApplyOutcome.Conflict(current))
        }
    }

    private fun ApplyState.documentRead(stored: ConfigurationDocument): ApplyStep = when {
        stored.publication == document.publication ->
            finish(ApplyOutcome.Accepted(stored.version))
        else -> finish(ApplyOutcome.Conflict(stored.version))
    }

    private fun ApplyState.readBack(): ApplyStep =
        request(ApplyPhase.READING_BACK, ApplyAction.ReadBack(document.version))

    private fun ApplyState.retry(): ApplyStep = when (phase) {
        ApplyPhase.READING_HEAD, ApplyPhase.PUBLISHING ->
            request(ApplyPhase.READING_HEAD, ApplyAction.ReadHead)
        ApplyPhase.READING_BACK -> copy(mayHaveBeenWritten = true).readBack()
    }

    private fun ApplyState.request(phase: ApplyPhase, action: ApplyAction): ApplyStep = when {
        storeCalls < MAX_STORE_CALLS ->
            copy(phase = phase, storeCalls = storeCalls + 1).withActions(action)
        mayHaveBeenWritten -> finish(ApplyOutcome.Unknown)
        else -> finish(ApplyOutcome.Unavailable)
    }

    private fun ApplyState.finish(outcome: ApplyOutcome): ApplyStep =
        withActions(ApplyAction.Finish(outcome))

    private companion object {
        const val MAX_STORE_CALLS = 20
    }
}
