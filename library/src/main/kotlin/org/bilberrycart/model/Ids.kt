package org.bilberrycart.model

import kotlinx.serialization.Serializable

/** An organisation that sends requests. */
@Serializable
@JvmInline
public value class OrganisationId(public val value: String) {
    override fun toString(): String = value
}

/** A service that callers address: a model deployment or a plain service. */
@Serializable
@JvmInline
public value class ServiceId(public val value: String) {
    override fun toString(): String = value
}

/** A model engine or an instance of a plain service. */
@Serializable
@JvmInline
public value class UpstreamId(public val value: String) {
    override fun toString(): String = value
}

/** A VM of the system: one node. */
@Serializable
@JvmInline
public value class VmId(public val value: String) : Comparable<VmId> {
    override fun compareTo(other: VmId): Int = value.compareTo(other.value)

    override fun toString(): String = value
}

/** A data centre; a node learns its own from its settings. */
@Serializable
@JvmInline
public value class DataCentreId(public val value: String) {
    override fun toString(): String = value
}

/** A request, unique over all nodes and restarts. */
@Serializable
@JvmInline
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}

/** The key with which a caller marks repeats of one call. */
@Serializable
@JvmInline
public value class IdempotencyKey(public val value: String) {
    override fun toString(): String = value
}

/** A digest of organisation and body that recognises a request sent again. */
@Serializable
@JvmInline
public value class Fingerprint(public val value: String) {
    override fun toString(): String = value
}
