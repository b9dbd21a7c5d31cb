package org.bilberrycart.decode

import java.security.MessageDigest
import org.bilberrycart.model.Fingerprint
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.ServiceId

/** The SHA-256 digests that requests are authenticated and recognised by. */
public object Digests {
    /** Returns the lower-case hexadecimal SHA-256 of [text]. */
    public fun sha256Hex(text: String): String = sha256(text).joinToString("") { "%02x".format(it) }

    /** Whether [key] hashes to [hash], compared in constant time. */
    public fun isKeyOf(key: String, hash: String): Boolean =
        MessageDigest.isEqual(sha256Hex(key).toByteArray(), hash.toByteArray())

    /** Returns the digest that recognises a request sent again. */
    public fun fingerprint(
        organisation: OrganisationId,
        service: ServiceId,
        body: String,
    ): Fingerprint =
        Fingerprint(sha256Hex("$organisation\n$service\n$body").take(FINGERPRINT_DIGITS))

    private fun sha256(text: String): ByteArray =
        MessageDigest.getInstance("SHA-256").digest(text.toByteArray())

    private const val FINGERPRINT_DIGITS = 32
}
