package org.bilberrycart.bench.processes

import kotlin.time.Duration
import org.bilberrycart.bench.traffic.AnswerProgress

/** An observation that a caller or the fault duty reports to the recorder of a run. */
sealed class ProcessRunEvent {
    /** A caller sends a new request. */
    data class Requested(val isAction: Boolean) : ProcessRunEvent()

    /** A caller lost the connection of its answer and continues the answer at a random node. */
    data object Reconnected : ProcessRunEvent()

    /** A fault with the name [fault] began. */
    data class FaultBegun(val fault: String) : ProcessRunEvent()

    /** The next token arrived [wait] after the node that served the caller was killed. */
    data class ResumedAfterKill(val wait: Duration) : ProcessRunEvent()

    /**
     * The answer to request [number] ended.
     *
     * @property code the result code of a refusal, [ProcessRunFilter.WHOLE] if the answer reached
     *   its end, or [ProcessRunFilter.NO_RESULT].
     */
    data class AnswerEnded(val number: Int, val progress: AnswerProgress, val code: Int) :
        ProcessRunEvent()

    /** An action ended; [attempts] are the results of its attempts, in order. */
    data class ActionEnded(val key: String, val attempts: List<ActionAttempt>) : ProcessRunEvent()

    /** A look-up ended with the result [attempt]. */
    data class CheckEnded(val key: String, val attempt: ActionAttempt) : ProcessRunEvent()

    /** The service executed the action [key] [count] times. */
    data class Executed(val key: String, val count: Int) : ProcessRunEvent()

    /** All callers have ended and all executions have been reported. */
    data object RunEnded : ProcessRunEvent()
}
