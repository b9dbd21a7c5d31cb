package org.bilberrycart.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import org.bilberrycart.membership.Member

/** Thrown when the other end of a connection does not prove that it knows the secret. */
internal class HandshakeRefused(message: String, cause: Exception? = null) :
    Exception(message, cause)

/**
 * Lets both ends prove that they know the secret, without sending it.
 *
 * Each proof covers both challenges, both names and the role, so that it can be neither replayed
 * nor reflected. The accepting end shows its own proof only to an end that proved itself.
 */
internal class LinkHandshake(
    private val self: Member,
    secret: String,
    private val random: SecureRandom = SecureRandom(),
) {
    private val key = SecretKeySpec(secret.toByteArray(), ALGORITHM)

    /** Returns the peer at the other end; throws [HandshakeRefused] if it fails. */
    suspend fun run(input: ByteReadChannel, output: ByteWriteChannel, isDialler: Boolean): Member {
        val own = Handshake.Hello(VERSION, self, ByteArray(NONCE_BYTES).also(random::nextBytes))
        output.writeFrame(PeerCodec.encodeHandshake(own))
        val other = receiveHello(input)
        val proof = Handshake.Proof(mac(isDialler, own, other))
        if (isDialler) output.writeFrame(PeerCodec.encodeHandshake(proof))
        val answer = receive(input) as? Handshake.Proof
            ?: throw HandshakeRefused("the second message is no proof")
        if (!MessageDigest.isEqual(answer.mac, mac(!isDialler, other, own))) {
            throw HandshakeRefused("wrong secret of ${other.member.vm}")
        }
        if (!isDialler) output.writeFrame(PeerCodec.encodeHandshake(proof))
        return other.member
    }

    private suspend fun receiveHello(input: ByteReadChannel): Handshake.Hello {
        val hello = receive(input) as? Handshake.Hello
            ?: throw HandshakeRefused("the first message is no greeting")
        if (hello.version != VERSION) throw HandshakeRefused("version ${hello.version}")
        return hello
    }

    private suspend fun receive(input: ByteReadChannel): Handshake {
        val bytes = input.readFrame(MAX_HANDSHAKE_BYTES)
        return try {
            PeerCodec.decodeHandshake(bytes)
        } catch (e: IllegalArgumentException) {
            throw HandshakeRefused("malformed handshake", e)
        }
    }

    private fun mac(isDialler: Boolean, prover: Handshake.Hello, verifier: Handshake.Hello) =
        Mac.getInstance(ALGORITHM).run {
            init(key)
            update(if (isDialler) 1 else 0)
            update(PeerCodec.encodeHandshake(prover))
            doFinal(PeerCodec.encodeHandshake(verifier))
        }

    private companion object {
        const val ALGORITHM = "HmacSHA256"
        const val VERSION = 1
        const val NONCE_BYTES = 16
        const val MAX_HANDSHAKE_BYTES = 1024
    }
}
