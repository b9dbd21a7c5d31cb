package org.bilberrycart.decode

import java.security.MessageDigest
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.ServiceId

/** Computes the SHA-256 digests that authenticate callers and identify repeated requests. */
public object Digests {
    /** Returns the SHA-256 digest of [text] in UTF-8 as lower-case hexadecimal digits. */
    public fun sha256Hex(text: String): String = sha256(text).joinToString("") { "%02x".format(it) }

    /** Returns whether [hash] is the SHA-256 digest of [key]; compares in constant time. */
    public fun isKeyOf(key: String, hash: String): Boolean =
        MessageDigest.isEqual(sha256Hex(key).toByteArray(), hash.toByteArray())

    /** Returns the fingerprint by which a repetition of the same request is recognised. */
    public fun fingerprint(
        organisation: OrganisationId,
        service: ServiceId,
        body: String,
    ): Fingerprint =
        Fingerprint(sha256Hex("$organisation\n$service\n$body").take(FINGERPRINT_HEX_DIGITS))

    private fun sha256(text: String): ByteArray =
        MessageDigest.getInstance("SHA-256").digest(text.toByteArray())

    private const val FINGERPRINT_HEX_DIGITS = 32
}
