package org.bilberrycart.standins.platform

import kotlinx.serialization.Serializable

/**
 * The faults and limits of the platform stand-in; the faults are off by default.
 *
 * @property down whether every call is refused with status 503.
 * @property hang whether calls are not executed and fail after [HANG_MILLIS] ms.
 * @property slowMillis the ms added before each answer.
 * @property lostAnswers the share of writes, from 0 to 1, that are applied but not answered.
 * @property staleMillis the age in ms of the table that reads are answered from.
 * @property vmLagMillis the delay in ms before a change shows in the list of VMs.
 * @property writesPerSecond the rate of transactions above which status 429 is returned.
 * @property readsPerSecond the rate of reads above which status 429 is returned.
 */
@Serializable
data class PlatformFaults(
    val down: Boolean = false,
    val hang: Boolean = false,
    val slowMillis: Long = 0,
    val lostAnswers: Double = 0.0,
    val staleMillis: Long = 0,
    val vmLagMillis: Long = DEFAULT_VM_LAG_MILLIS,
    val writesPerSecond: Double = DEFAULT_WRITES_PER_SECOND,
    val readsPerSecond: Double = DEFAULT_READS_PER_SECOND,
) {
    companion object {
        const val DEFAULT_VM_LAG_MILLIS = 5_000L
        const val DEFAULT_WRITES_PER_SECOND = 300.0
        const val DEFAULT_READS_PER_SECOND = 2_000.0
        const val HANG_MILLIS = 30_000L
    }
}
