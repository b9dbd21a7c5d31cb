package org.bilberrycart.bench.processes

import kotlin.time.Duration
import org.bilberrycart.bench.traffic.AnswerProgress

/** What callers and the fault duty tell the recorder of a run. */
sealed class RunEvent {
    /** A caller asks for something. */
    data class Requested(val isAction: Boolean) : RunEvent()

    /** A caller lost its node and asks another one. */
    data object Reconnected : RunEvent()

    /** The fault [fault] was brought about. */
    data class Faulted(val fault: String) : RunEvent()

    /** The next token came [wait] after the death of the node that the caller had. */
    data class ResumedAfterDeath(val wait: Duration) : RunEvent()

    /** An answer of request [number] is over; [code] is 0 if it came to its end. */
    data class AnswerOver(val number: Int, val progress: AnswerProgress, val code: Int) :
        RunEvent()

    /** An action ended with the history [attempts] of its answers. */
    data class ActionOver(val key: String, val attempts: List<ActionAttempt>) : RunEvent()

    /** A look-up ended with [attempt]. */
    data class CheckOver(val key: String, val attempt: ActionAttempt) : RunEvent()

    /** The service ran the action [key] [count] times. */
    data class Executed(val key: String, val count: Int) : RunEvent()

    /** All callers are done and all executions are counted. */
    data object Ended : RunEvent()
}
