package org.bilberrycart.model

import kotlin.time.Duration

/** A caller's request after decoding; it knows nothing of HTTP or JSON. */
public sealed class Request {
    public abstract val id: RequestId
    public abstract val organisation: OrganisationId
    public abstract val service: ServiceId
    public abstract val requestClass: RequestClass
    public abstract val fingerprint: Fingerprint

    /** When the caller arrived, by the node's [org.bilberrycart.pipeline.Clock]. */
    public abstract val arrivedAt: Duration

    /** When the answer is too late, by the node's [org.bilberrycart.pipeline.Clock]. */
    public abstract val deadline: Duration
}

/** A request for tokens from a model engine. */
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
 * @property operation the name of the operation, the last part of the upstream's path.
 * @property body the payload, passed on unread.
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
