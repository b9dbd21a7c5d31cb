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

/** Encodes messages between nodes as CBOR and decodes them. */
public object PeerCodec {
    private val cbor = Cbor {
        useDefiniteLengthEncoding = true
        ignoreUnknownKeys = true
    }

    /** Returns the encoded [message] without its length prefix. */
    public fun encode(message: PeerMessage): ByteArray = cbor.encodeToByteArray(message)

    /** Returns the decoded message; throws `SerializationException` if [bytes] are malformed. */
    public fun decode(bytes: ByteArray): PeerMessage =
        decodeOrThrow { cbor.decodeFromByteArray(bytes) }

    /** Returns how many bytes [self] sends to open one link, including the length prefixes. */
    public fun handshakeBytes(self: Member): Int {
        val hello = Handshake.Hello(0, self, ByteArray(LinkHandshake.NONCE_BYTES))
        val proof = Handshake.Proof(ByteArray(LinkHandshake.MAC_BYTES))
        return listOf(hello, proof).sumOf { encodeHandshake(it).size + FRAME_HEADER_BYTES }
    }

    internal fun encodeHandshake(message: Handshake): ByteArray = cbor.encodeToByteArray(message)

    internal fun decodeHandshake(bytes: ByteArray): Handshake =
        decodeOrThrow { cbor.decodeFromByteArray(bytes) }

    /**
     * Converts every failure of the decoder to a `SerializationException`.
     *
     * On a truncated frame the decoder throws other exceptions than its own, and on the chunks of a
     * text of indefinite length it recurses without limit until the stack overflows.
     */
    private inline fun <T> decodeOrThrow(decode: () -> T): T = try {
        decode()
    } catch (e: SerializationException) {
        throw e
    } catch (e: RuntimeException) {
        throw SerializationException("malformed message", e)
    } catch (e: StackOverflowError) {
        throw SerializationException("malformed message", e)
    }
}

/** The two messages with which each end of a link authenticates. */
@Serializable
internal sealed class Handshake {
    /** Identifies the sender and challenges the receiver with [nonce]. */
    @Serializable
    @SerialName("h")
    @CborArray
    class Hello(val version: Int, val member: Member, @ByteString val nonce: ByteArray) :
        Handshake()

    /** Answers the challenge with an HMAC that requires the secret. */
    @Serializable
    @SerialName("p")
    @CborArray
    class Proof(@ByteString val mac: ByteArray) : Handshake()
}
