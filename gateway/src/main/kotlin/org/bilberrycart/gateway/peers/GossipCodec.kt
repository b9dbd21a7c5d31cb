package org.bilberrycart.gateway.peers

import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.slf4j.LoggerFactory

/** Encodes gossip messages and copies of tables as CBOR, with numeric labels for names. */
internal object GossipCodec {
    private val cbor = Cbor {
        preferCborLabelsOverNames = true
        ignoreUnknownKeys = true
    }

    fun encode(message: GossipMessage): ByteArray = cbor.encodeToByteArray(message)

    fun encode(table: TableCopy): ByteArray = cbor.encodeToByteArray(table)

    /** Returns the message in [bytes], or null if they are malformed. */
    fun decodeMessage(bytes: ByteArray): GossipMessage? =
        decodeOrNull { cbor.decodeFromByteArray<GossipMessage>(bytes) }

    /** Returns the table in [bytes], or null if they are malformed. */
    fun decodeTable(bytes: ByteArray): TableCopy? =
        decodeOrNull { cbor.decodeFromByteArray<TableCopy>(bytes) }

    /**
     * Returns the result of [read], or null if it fails.
     *
     * The decoder throws many kinds of exceptions for truncated bytes, and recurses without limit
     * on nested chunks of a text of indefinite length.
     */
    private fun <T> decodeOrNull(read: () -> T): T? = try {
        read()
    } catch (e: RuntimeException) {
        malformed(e)
    } catch (e: StackOverflowError) {
        malformed(e)
    }

    private fun <T> malformed(cause: Throwable): T? {
        log.warn("event=peer_message_malformed cause={}", cause.javaClass.simpleName)
        return null
    }

    private val log = LoggerFactory.getLogger(GossipCodec::class.java)
}
