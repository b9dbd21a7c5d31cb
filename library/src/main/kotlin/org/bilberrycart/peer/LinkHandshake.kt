package org.bilberrycart.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec
import org.bilberrycart.membership.Member

/** Thrown when the other end of a connection fails to authenticate. */
internal class HandshakeRefused(message: String, cause: Exception? = null) :
    Exception(message, cause)

/**
 * Authenticates both ends of a connection by a shared secret without sending it.
 *
 * Each proof is an HMAC over both nonces, both members and the role of the prover, so that it can
 * be neither replayed nor reflected. The accepting end sends its own proof only after it has
 * verified that of the dialling end.
 */
internal class LinkHandshake(
    private val self: Member,
    secret: String,
    private val random: SecureRandom = SecureRandom(),
) {
    private val key = SecretKeySpec(secret.toByteArray(), ALGORITHM)

    /** Returns the peer at the other end; throws [HandshakeRefused] if it is not authenticated. */
    suspend fun run(input: ByteReadChannel, output: ByteWriteChannel, isDialler: Boolean): Member {
        val ownHello = Handshake.Hello(
            VERSION,
            self,
            ByteArray(NONCE_BYTES).also(random::nextBytes),
        )
        output.writeFrame(PeerCodec.encodeHandshake(ownHello))
        val peerHello = receiveHello(input)
        val proof = Handshake.Proof(mac(isDialler, ownHello, peerHello))
        if (isDialler) output.writeFrame(PeerCodec.encodeHandshake(proof))
        val peerProof = receive(input) as? Handshake.Proof
            ?: throw HandshakeRefused("the second message is not a proof")
        if (!MessageDigest.isEqual(peerProof.mac, mac(!isDialler, peerHello, ownHello))) {
            throw HandshakeRefused("${peerHello.member.vm} does not know the secret")
        }
        if (!isDialler) output.writeFrame(PeerCodec.encodeHandshake(proof))
        return peerHello.member
    }

    private suspend fun receiveHello(input: ByteReadChannel): Handshake.Hello {
        val hello = receive(input) as? Handshake.Hello
            ?: throw HandshakeRefused("the first message is not a hello")
        if (hello.version != VERSION) throw HandshakeRefused("unsupported version ${hello.version}")
        return hello
    }

    private suspend fun receive(input: ByteReadChannel): Handshake {
        val bytes = input.readFrame(MAX_HANDSHAKE_BYTES)
        return try {
            PeerCodec.decodeHandshake(bytes)
        } catch (e: IllegalArgumentException) {
            throw HandshakeRefused("malformed handshake message", e)
        }
    }

    private fun mac(isDialler: Boolean, prover: Handshake.Hello, verifier: Handshake.Hello) =
        Mac.getInstance(ALGORITHM).run {
            init(key)
            update(if (isDialler) 1 else 0)
            update(PeerCodec.encodeHandshake(prover))
            doFinal(PeerCodec.encodeHandshake(verifier))
        }

    internal companion object {
        const val NONCE_BYTES = 16
        const val MAC_BYTES = 32
        private const val ALGORITHM = "HmacSHA256"
        private const val VERSION = 1
        private const val MAX_HANDSHAKE_BYTES = 1024
    }
}
