package org.bilberrycart.standins.platform

import kotlinx.serialization.Serializable

/** The reply that completes an exchange with the platform stand-in. */
sealed class StandInReply {
    /** The results of a transaction, one for each group. */
    data class Results(val results: List<ResultMessage>) : StandInReply()

    /** The row that was asked for. */
    data class Found(val row: RowMessage) : StandInReply()

    /** The rows of a scan. */
    data class Rows(val rows: List<RowMessage>) : StandInReply()

    /** The list of VMs. */
    data class Vms(val vms: List<VmMessage>) : StandInReply()

    /** The content of an object or of weights. */
    data class Content(val value: String) : StandInReply()

    /** The counters of the stand-in. */
    data class Counters(val counters: StandInCounters) : StandInReply()

    /** The object was stored, or the VMs or faults were changed. */
    data object Accepted : StandInReply()

    /** The row or object does not exist. */
    data object NotFound : StandInReply()

    /** The call exceeded its rate limit and was not executed. */
    data object RateLimited : StandInReply()

    /** The stand-in is down and did not execute the call. */
    data object Unavailable : StandInReply()

    /** The answer is lost; the call may have been executed. */
    data object AnswerLost : StandInReply()
}

/**
 * Counters of the stand-in since its start.
 *
 * @property transactions transactions executed.
 * @property groups groups of writes in the executed transactions.
 * @property reads reads, scans and object writes executed; reads of weights are not counted.
 * @property overRate calls refused because of a rate limit.
 * @property lostAnswers answers lost because of [PlatformFaults.lostAnswers].
 */
@Serializable
data class StandInCounters(
    val transactions: Long = 0,
    val groups: Long = 0,
    val reads: Long = 0,
    val overRate: Long = 0,
    val lostAnswers: Long = 0,
)
