package org.bilberrycart.idempotency

import kotlinx.serialization.Serializable

/**
 * Identifies one arrival of a call at one process of a node.
 *
 * Only the owner of a call record may dispatch the call.
 */
@Serializable
@JvmInline
public value class CallOwner(public val value: String) {
    override fun toString(): String = value
}
