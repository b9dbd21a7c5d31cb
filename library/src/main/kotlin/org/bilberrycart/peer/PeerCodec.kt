package org.bilberrycart.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborArray
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.bilberrycart.membership.Member

/** Turns messages into CBOR and back; throws `SerializationException` on malformed bytes. */
internal object PeerCodec {
    private val cbor = Cbor {
        useDefiniteLengthEncoding = true
        ignoreUnknownKeys = true
    }

    fun encode(message: PeerMessage): ByteArray = cbor.encodeToByteArray(message)

    fun decode(bytes: ByteArray): PeerMessage = checked { cbor.decodeFromByteArray(bytes) }

    fun encodeHandshake(message: Handshake): ByteArray = cbor.encodeToByteArray(message)

    fun decodeHandshake(bytes: ByteArray): Handshake = checked { cbor.decodeFromByteArray(bytes) }

    /**
     * The decoder ends a frame that was cut with other exceptions than its own, and recurses
     * without bound on chunks of a text of indefinite length.
     */
    private inline fun <T> checked(decode: () -> T): T = try {
        decode()
    } catch (e: SerializationException) {
        throw e
    } catch (e: RuntimeException) {
        throw SerializationException("malformed message", e)
    } catch (e: StackOverflowError) {
        throw SerializationException("malformed message", e)
    }
}

/** The two messages with which each end of a link proves that it knows the secret. */
@Serializable
internal sealed class Handshake {
    /** Names the sender and challenges the receiver with [nonce]. */
    @Serializable
    @SerialName("h")
    @CborArray
    class Hello(val version: Int, val member: Member, @ByteString val nonce: ByteArray) :
        Handshake()

    /** Answers the challenge. */
    @Serializable
    @SerialName("p")
    @CborArray
    class Proof(@ByteString val mac: ByteArray) : Handshake()
}
