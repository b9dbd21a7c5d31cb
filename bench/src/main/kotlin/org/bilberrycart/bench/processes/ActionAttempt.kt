package org.bilberrycart.bench.processes

/** What came of sending an action once. */
sealed class ActionAttempt {
    /** The service's answer came; [isOwn] tells whether it belongs to this action. */
    data class Answered(val isOwn: Boolean) : ActionAttempt()

    /** The node refused with the result [code]. */
    data class Refused(val code: Int) : ActionAttempt()

    /** No answer came. */
    data object Unanswered : ActionAttempt()
}
