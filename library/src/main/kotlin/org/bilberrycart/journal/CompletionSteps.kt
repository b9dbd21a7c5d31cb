package org.bilberrycart.journal

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.bilberrycart.model.AnswerPart
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.AttemptOutcome
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.pipeline.Step

internal typealias JournalStep = Step<JournalState, JournalAction>

/** Ends [generation] with [end], cancels its active attempts and removes it from [state]. */
internal fun complete(state: JournalState, generation: Generation, end: AnswerPart): JournalStep {
    val cancels = generation.activeAttempts.flatMap(::cancel)
    val complete = JournalAction.Complete(generation.request.id, generation.epoch, end)
    return Step(
        state.remove(generation.request.id),
        cancels.toPersistentList().add(complete),
    )
}

/** Cancels [activeAttempt], or withdraws it if it is not placed yet. */
internal fun cancel(activeAttempt: ActiveAttempt): List<JournalAction> {
    val upstream = activeAttempt.upstream
        ?: return listOf(JournalAction.Withdraw(activeAttempt.attempt))
    return cancel(activeAttempt.attempt, upstream)
}

/** Stops [attempt] on [upstream] and reports it as cancelled. */
internal fun cancel(attempt: AttemptId, upstream: UpstreamId): PersistentList<JournalAction> =
    persistentListOf(
        JournalAction.CancelAttempt(attempt),
        JournalAction.ReportOutcome(attempt, upstream, AttemptOutcome.Cancelled),
    )

/** Reports the [outcome] of [activeAttempt] to routing; nothing if it is not placed yet. */
internal fun report(
    activeAttempt: ActiveAttempt,
    outcome: AttemptOutcome,
): PersistentList<JournalAction> {
    val upstream = activeAttempt.upstream ?: return persistentListOf()
    return persistentListOf(
        JournalAction.ReportOutcome(activeAttempt.attempt, upstream, outcome),
    )
}

/** Closes the stream of [activeAttempt] without stopping the engine, or withdraws the attempt. */
internal fun detach(activeAttempt: ActiveAttempt): List<JournalAction> {
    val upstream = activeAttempt.upstream
        ?: return listOf(JournalAction.Withdraw(activeAttempt.attempt))
    return listOf(
        JournalAction.Detach(activeAttempt.attempt),
        JournalAction.ReportOutcome(activeAttempt.attempt, upstream, AttemptOutcome.Cancelled),
    )
}
