package org.bilberrycart.bench.routing

import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.AttemptOutcome
import org.bilberrycart.model.UpstreamId
import org.bilberrycart.routing.LoadReport
import org.bilberrycart.routing.RoutingEvent
import org.bilberrycart.suspect.SuspectEvent

/** What happens in a policy run at a point in time. */
internal sealed class RunEvent {
    data class Arrive(val arrival: Arrival) : RunEvent()

    data class FirstToken(val engine: UpstreamId, val attempt: AttemptId) : RunEvent()

    data class Finish(val engine: UpstreamId, val attempt: AttemptId) : RunEvent()

    data class Lose(val engine: UpstreamId, val job: Job, val outcome: AttemptOutcome.Lost) :
        RunEvent()

    data class Die(val engine: UpstreamId) : RunEvent()

    data class Restart(val engine: UpstreamId) : RunEvent()

    data class SendReport(val engine: UpstreamId) : RunEvent()

    data class Report(val engine: UpstreamId, val load: LoadReport) : RunEvent()

    data class Resend(val killer: Int, val number: Int) : RunEvent()

    data class ToRouting(val node: Int, val event: RoutingEvent) : RunEvent()

    data class ToSuspect(val node: Int, val event: SuspectEvent) : RunEvent()

    data object ShareUsage : RunEvent()

    data object Tick : RunEvent()
}
