package org.bilberrycart.replication

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.GenerationRequest
import org.bilberrycart.model.ModelRef
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestClass
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.Sampling
import org.bilberrycart.model.ServiceId

/**
 * A generation request in the form that nodes send to each other.
 *
 * Times are relative to the time of sending, because clocks of different VMs are never compared.
 *
 * @property ageMillis the time since the request arrived, in milliseconds.
 * @property remainingMillis the time until the deadline, in milliseconds.
 */
@Serializable
@CborArray
public data class GenerationRecord(
    val id: RequestId,
    val organisation: OrganisationId,
    val service: ServiceId,
    val requestClass: RequestClass,
    val fingerprint: Fingerprint,
    val ageMillis: Long,
    val remainingMillis: Long,
    val model: ModelRef,
    val prompt: String,
    val sampling: Sampling,
) {
    /** Returns the request with its times on a clock that reads [now]. */
    public fun toRequest(now: Duration): GenerationRequest = GenerationRequest(
        id = id,
        organisation = organisation,
        service = service,
        requestClass = requestClass,
        fingerprint = fingerprint,
        arrivedAt = now - ageMillis.milliseconds,
        deadline = now + remainingMillis.milliseconds,
        model = model,
        prompt = prompt,
        sampling = sampling,
    )

    public companion object {
        /** Returns the record of [request], whose times are on a clock that reads [now]. */
        public fun of(request: GenerationRequest, now: Duration): GenerationRecord =
            GenerationRecord(
                id = request.id,
                organisation = request.organisation,
                service = request.service,
                requestClass = request.requestClass,
                fingerprint = request.fingerprint,
                ageMillis = (now - request.arrivedAt).inWholeMilliseconds,
                remainingMillis = (request.deadline - now).inWholeMilliseconds,
                model = request.model,
                prompt = request.prompt,
                sampling = request.sampling,
            )
    }
}
