package org.bilberrycart.admission

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlinx.serialization.Serializable
import org.bilberrycart.model.RequestClass

/**
 * Settings of the admission duty.
 *
 * @property shortReserve the share of the slots that long drafts leave to the other classes.
 * @property borrowLimit the load, as a share of the slots, up to which an organisation may use more
 * than its fair share. Above that load, an organisation that offers far more work than its fair
 * share may use only this part of the share.
 * @property shortWait the longest predicted wait with which a short question is admitted.
 * @property callWait the longest predicted wait with which a check or an action is admitted.
 * @property draftWait the longest predicted wait with which a long draft is admitted.
 */
@Serializable
public data class AdmissionSettings(
    val shortReserve: Double = 0.2,
    val borrowLimit: Double = 0.8,
    val shortWait: Duration = 500.milliseconds,
    val callWait: Duration = 2.seconds,
    val draftWait: Duration = 20.seconds,
) {
    init {
        require(shortReserve in 0.0..1.0) { "shortReserve must be from 0 to 1, got $shortReserve" }
        require(borrowLimit in 0.0..1.0) { "borrowLimit must be from 0 to 1, got $borrowLimit" }
    }

    /** Returns the longest predicted wait with which a request of [requestClass] is admitted. */
    public fun maxWaitOf(requestClass: RequestClass): Duration = when (requestClass) {
        RequestClass.SHORT_QUESTION -> shortWait
        RequestClass.ACTION, RequestClass.CHECK -> callWait
        RequestClass.LONG_DRAFT -> draftWait
    }
}
