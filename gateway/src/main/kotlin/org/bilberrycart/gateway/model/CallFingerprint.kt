package org.bilberrycart.gateway.model

import java.nio.ByteBuffer
import java.security.MessageDigest

/** A hash of a call's organisation, method, target and body; independent of its request id. */
@JvmInline
public value class CallFingerprint(public val value: Long) {
    /** Computes fingerprints. */
    public companion object {
        private const val SEPARATOR: Byte = 0

        /** Returns the fingerprint of [call]. */
        public fun of(call: RoutedCall): CallFingerprint {
            val digest = MessageDigest.getInstance("SHA-256")
            listOf(call.organisation.orEmpty(), call.head.method, call.head.target).forEach {
                digest.update(it.toByteArray(Charsets.UTF_8))
                digest.update(SEPARATOR)
            }
            return CallFingerprint(ByteBuffer.wrap(digest.digest(call.body.bytes)).getLong())
        }
    }
}
