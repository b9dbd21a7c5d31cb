package org.bilberrycart.gateway.peers

import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** Encodes gossip messages and copies of tables as CBOR, with numeric labels for names. */
internal object GossipCodec {
    private val cbor = CborCodec.cbor

    fun encode(message: GossipMessage): ByteArray = cbor.encodeToByteArray(message)

    fun encode(table: TableCopy): ByteArray = cbor.encodeToByteArray(table)

    /** Returns the message in [bytes], or null if they are malformed. */
    fun decodeMessage(bytes: ByteArray): GossipMessage? =
        decodeOrNull { cbor.decodeFromByteArray<GossipMessage>(bytes) }

    /** Returns the table in [bytes], or null if they are malformed. */
    fun decodeTable(bytes: ByteArray): TableCopy? =
        decodeOrNull { cbor.decodeFromByteArray<TableCopy>(bytes) }

    private fun <T> decodeOrNull(read: () -> T): T? =
        CborCodec.decodeOrNull("peer_message") { read() }
}
