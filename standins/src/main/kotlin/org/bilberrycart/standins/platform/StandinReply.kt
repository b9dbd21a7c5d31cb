package org.bilberrycart.standins.platform

import kotlinx.serialization.Serializable

/** What an exchange with the stand-in ends with. */
sealed class StandinReply {
    data class Results(val results: List<ResultMessage>) : StandinReply()

    data class Found(val row: RowMessage) : StandinReply()

    data class Rows(val rows: List<RowMessage>) : StandinReply()

    data class Vms(val vms: List<VmMessage>) : StandinReply()

    data class Content(val value: String) : StandinReply()

    data class Counted(val counters: StandinCounters) : StandinReply()

    data object Accepted : StandinReply()

    data object Missing : StandinReply()

    data object OverRate : StandinReply()

    data object Down : StandinReply()

    /** The answer is lost; the call may have been executed. */
    data object Lost : StandinReply()
}

/**
 * Counters of the stand-in since its start.
 *
 * @property transactions transactions executed.
 * @property groups groups in them.
 * @property reads reads and scans executed.
 * @property overRate calls refused because of the rate.
 * @property lostAnswers answers lost on purpose.
 */
@Serializable
data class StandinCounters(
    val transactions: Long = 0,
    val groups: Long = 0,
    val reads: Long = 0,
    val overRate: Long = 0,
    val lostAnswers: Long = 0,
)
