package org.bilberrycart.peer

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.engine.names.WithDataTestName
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.property.PropTestConfig
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.SerializationException
import org.bilberrycart.fuzz.FUZZ_SEED
import org.bilberrycart.fuzz.mutations
import org.bilberrycart.membership.Member
import org.bilberrycart.membership.MemberRecord
import org.bilberrycart.membership.MembershipMessage
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.VmId

private const val ITERATIONS = 5_000
private val config = PropTestConfig(seed = FUZZ_SEED, iterations = ITERATIONS)
private val member =
    Member(VmId("vm-1"), "10.0.0.1", port = 7000, DataCentreId("dc-1"), processNumber = 5)
private val record = MemberRecord(member, incarnation = 3)
private val samples = listOf(
    MembershipMessage.Ping(sequence = 9, incarnation = 3, updates = listOf(record, record)),
    MembershipMessage.PingRequest(sequence = 300, target = VmId("vm-2"), updates = listOf(record)),
    MembershipMessage.Join(updates = emptyList()),
).map { PeerCodec.encode(PeerMessage.Membership(it)) }

/** Decodes a frame; null if the link closes because the frame is malformed. */
private typealias Decode = (ByteArray) -> PeerMessage?

private fun decodeOrNull(bytes: ByteArray): PeerMessage? = try {
    PeerCodec.decode(bytes)
} catch (e: SerializationException) {
    null
}

private fun fuzz(decode: Decode) = runBlocking {
    checkAll(config, mutations(samples)) { bytes ->
        val message = decode(bytes)
        if (message != null) {
            val encoded = PeerCodec.encode(message)
            decode(encoded) shouldBe message
            encoded.size shouldBeLessThan 2 * bytes.size + 64
        }
    }
}

private data class InjectedBug(val name: String, val decode: Decode) : WithDataTestName {
    override fun dataTestName(): String = name
}

class PeerCodecFuzzTest :
    FunSpec({
        test("any frame is malformed or decodes to a message that can be encoded again") {
            fuzz(::decodeOrNull)
        }

        test("any handshake message is decoded or refused") {
            val hello = Handshake.Hello(version = 1, member, nonce = ByteArray(16) { it.toByte() })
            val frames = listOf(hello, Handshake.Proof(ByteArray(32))).map {
                PeerCodec.encodeHandshake(it)
            }
            checkAll(config, mutations(frames)) { bytes ->
                try {
                    PeerCodec.decodeHandshake(bytes)
                } catch (e: IllegalArgumentException) {
                    // LinkHandshake refuses the connection only on this exception.
                }
            }
        }

        context("the fuzz test detects an injected bug") {
            withData(
                InjectedBug("a decoder whose exceptions are not caught", PeerCodec::decode),
                InjectedBug("a decoder that drops the first record") { bytes ->
                    when (val message = (decodeOrNull(bytes) as? PeerMessage.Membership)?.message) {
                        is MembershipMessage.Ping ->
                            PeerMessage.Membership(message.copy(updates = message.updates.drop(1)))
                        null -> null
                        else -> PeerMessage.Membership(message)
                    }
                },
            ) { bug -> shouldThrow<AssertionError> { fuzz(bug.decode) } }
        }
    })
