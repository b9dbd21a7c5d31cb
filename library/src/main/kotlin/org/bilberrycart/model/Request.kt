package org.bilberrycart.model

import kotlin.time.Duration

/** A decoded request of a caller, independent of HTTP and JSON. */
public sealed class Request {
    public abstract val id: RequestId
    public abstract val organisation: OrganisationId
    public abstract val service: ServiceId
    public abstract val requestClass: RequestClass
    public abstract val fingerprint: Fingerprint

    /** When the request arrived, by the node's [org.bilberrycart.pipeline.Clock]. */
    public abstract val arrivedAt: Duration

    /** When the answer must be complete, by the node's [org.bilberrycart.pipeline.Clock]. */
    public abstract val deadline: Duration
}

/** A request for an answer that a model engine generates. */
public data class GenerationRequest(
    override val id: RequestId,
    override val organisation: OrganisationId,
    override val service: ServiceId,
    override val requestClass: RequestClass,
    override val fingerprint: Fingerprint,
    override val arrivedAt: Duration,
    override val deadline: Duration,
    val model: ModelRef,
    val prompt: String,
    val sampling: Sampling,
) : Request()

/**
 * A call to a plain service.
 *
 * @property operation the name of the operation, which is the last segment of the path on the
 *   upstream.
 * @property body the payload, forwarded without being parsed.
 * @property key the caller's idempotency key; null if it sent none.
 */
public data class ServiceCall(
    override val id: RequestId,
    override val organisation: OrganisationId,
    override val service: ServiceId,
    override val requestClass: RequestClass,
    override val fingerprint: Fingerprint,
    override val arrivedAt: Duration,
    override val deadline: Duration,
    val operation: String,
    val body: String,
    val repeatMode: RepeatMode,
    val key: IdempotencyKey? = null,
) : Request()
