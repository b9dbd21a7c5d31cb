package org.bilberrycart.bench.processes

/** The result of one attempt to send an action or a look-up. */
sealed class ActionAttempt {
    /** The service answered; [isOwn] tells whether the answer belongs to this call. */
    data class Answered(val isOwn: Boolean) : ActionAttempt()

    /** The node refused the call with the result code [code]. */
    data class Refused(val code: Int) : ActionAttempt()

    /** No answer arrived in time. */
    data object Unanswered : ActionAttempt()
}
