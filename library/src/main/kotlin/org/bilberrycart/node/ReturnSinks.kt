package org.bilberrycart.node

import org.bilberrycart.admission.AdmissionEvent
import org.bilberrycart.dispatch.DispatchEvent
import org.bilberrycart.http.Callers
import org.bilberrycart.journal.JournalAction
import org.bilberrycart.journal.JournalEvent
import org.bilberrycart.metrics.MetricsEvent
import org.bilberrycart.release.ReleaseAction
import org.bilberrycart.replication.ReplicationEvent
import org.bilberrycart.routing.RoutingEvent
import org.bilberrycart.suspect.SuspectEvent
import org.bilberrycart.takeover.TakeoverEvent

/**
 * The sinks of the filters on the path of answers from upstreams to callers.
 *
 * Each function turns the actions of one filter into events in the rings of the next filters.
 */
internal class ReturnSinks(
    private val rings: NodeRings,
    private val callers: Callers,
    private val observer: NodeObserver,
) {
    fun journal(action: JournalAction) {
        when (action) {
            is JournalAction.Begin -> rings.replication.of(action.generation.id)
                .put(ReplicationEvent.Began(action.generation, action.epoch))
            is JournalAction.Append -> rings.replication.of(action.request)
                .putBulk(ReplicationEvent.Appended(action.request, action.epoch, action.token))
            is JournalAction.Complete -> rings.replication.of(action.request)
                .put(ReplicationEvent.Completed(action.request, action.epoch, action.end))
            is JournalAction.Resume -> rings.suspect.put(SuspectEvent.Place(action.placement))
            is JournalAction.Withdraw -> {
                rings.suspect.put(SuspectEvent.NotPlaced(action.attempt))
                rings.routing.put(RoutingEvent.Withdraw(action.attempt))
            }
            is JournalAction.CancelAttempt ->
                rings.dispatch.put(DispatchEvent.Cancel(action.attempt))
            is JournalAction.Detach -> rings.dispatch.put(DispatchEvent.Detach(action.attempt))
            is JournalAction.Probe -> rings.dispatch.put(DispatchEvent.Probe(action.attempt))
            is JournalAction.Reattach ->
                rings.dispatch.put(DispatchEvent.Reattach(action.attempt, action.from))
            is JournalAction.ReportOutcome ->
                rings.attemptEnded(action.attempt, action.upstream, action.outcome)
            is JournalAction.CountStray -> observer.count(MetricsEvent.StrayToken)
            is JournalAction.CountLoss -> observer.count(MetricsEvent.Lost(action.cause))
            is JournalAction.CountResume ->
                observer.count(MetricsEvent.Resumed(action.request, action.latency))
        }
    }

    fun release(action: ReleaseAction) {
        when (action) {
            is ReleaseAction.Deliver -> callers.deliver(action.caller, action.part)
            is ReleaseAction.AnswerEnded ->
                rings.admission.put(AdmissionEvent.Ended(action.request, action.tokens))
            is ReleaseAction.StopGeneration -> rings.journal.of(action.request)
                .put(JournalEvent.Stop(action.request, action.code))
            is ReleaseAction.Locate -> rings.takeover.put(
                TakeoverEvent.Reconnected(
                    caller = action.caller,
                    request = action.request,
                    organisation = action.organisation,
                    after = action.after,
                ),
            )
        }
    }
}
