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

internal fun complete(state: JournalState, generation: Generation, end: AnswerPart): JournalStep {
    val cancels = generation.contenders.flatMap(::cancel)
    val complete = JournalAction.Complete(generation.request.id, generation.epoch, end)
    return Step(
        state.remove(generation.request.id),
        cancels.toPersistentList().add(complete),
    )
}

internal fun cancel(contender: Contender): List<JournalAction> {
    val upstream = contender.upstream
        ?: return listOf(JournalAction.Withdraw(contender.attempt))
    return cancel(contender.attempt, upstream)
}

internal fun cancel(attempt: AttemptId, upstream: UpstreamId): PersistentList<JournalAction> =
    persistentListOf(
        JournalAction.CancelAttempt(attempt),
        JournalAction.ReportOutcome(attempt, upstream, AttemptOutcome.Cancelled),
    )

internal fun report(contender: Contender, outcome: AttemptOutcome): PersistentList<JournalAction> {
    val upstream = contender.upstream ?: return persistentListOf()
    return persistentListOf(
        JournalAction.ReportOutcome(contender.attempt, upstream, outcome),
    )
}

internal fun detach(contender: Contender): List<JournalAction> {
    val upstream = contender.upstream ?: return listOf(JournalAction.Withdraw(contender.attempt))
    return listOf(
        JournalAction.Detach(contender.attempt),
        JournalAction.ReportOutcome(contender.attempt, upstream, AttemptOutcome.Cancelled),
    )
}
