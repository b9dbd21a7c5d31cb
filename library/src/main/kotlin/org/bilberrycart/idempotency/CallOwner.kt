package org.bilberrycart.idempotency

import kotlinx.serialization.Serializable

/** One arrival of a call on one incarnation of a node; only the owner of a record dispatches. */
@Serializable
@JvmInline
public value class CallOwner(public val value: String) {
    override fun toString(): String = value
}
