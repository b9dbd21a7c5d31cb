package org.bilberrycart.model

import kotlinx.serialization.Serializable

/** Identifies an organisation that sends requests. */
@Serializable
@JvmInline
public value class OrganisationId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a service that callers address: a model deployment or a plain service. */
@Serializable
@JvmInline
public value class ServiceId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a model engine or an instance of a plain service. */
@Serializable
@JvmInline
public value class UpstreamId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a VM of the system; each VM runs one node. */
@Serializable
@JvmInline
public value class VmId(public val value: String) : Comparable<VmId> {
    override fun compareTo(other: VmId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** Identifies a data centre; a node's settings name the one that it runs in. */
@Serializable
@JvmInline
public value class DataCentreId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a request uniquely across all nodes and restarts. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** The key by which a caller marks retries of the same call. */
@Serializable
@JvmInline
public value class IdempotencyKey(public val value: String) {
    override fun toString(): String = value
}

/** A digest of the organisation and the body, used to recognise a request that is sent again. */
@Serializable
@JvmInline
public value class Fingerprint(public val value: String) {
    override fun toString(): String = value
}
