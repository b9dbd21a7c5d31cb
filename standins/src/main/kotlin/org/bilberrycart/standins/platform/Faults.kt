package org.bilberrycart.standins.platform

import kotlinx.serialization.Serializable

/**
 * How the stand-in misbehaves; all of it off by default.
 *
 * @property down whether every call is refused with status 503.
 * @property hang whether no call is answered within [HANG_MILLIS] ms; none is executed.
 * @property slowMillis extra time before each answer.
 * @property lostAnswers the share of writes, from 0 to 1, whose answer is lost after its effect.
 * @property staleMillis how old the state is that reads are answered from.
 * @property vmLagMillis how late a change shows in the list of VMs.
 * @property writesPerSecond transactions a second before status 429.
 * @property readsPerSecond reads a second before status 429.
 */
@Serializable
data class Faults(
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
