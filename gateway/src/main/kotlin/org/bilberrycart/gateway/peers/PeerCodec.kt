package org.bilberrycart.gateway.peers

import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** News and tables as CBOR, with numbers for names. */
internal object PeerCodec {
    private val cbor = Cbor {
        preferCborLabelsOverNames = true
        ignoreUnknownKeys = true
    }

    fun encode(news: PeerNews): ByteArray = cbor.encodeToByteArray(news)

    fun encode(table: TableCopy): ByteArray = cbor.encodeToByteArray(table)

    /** Returns the news in [bytes], or null if they can't be read. */
    fun news(bytes: ByteArray): PeerNews? = decode { cbor.decodeFromByteArray<PeerNews>(bytes) }

    /** Returns the table in [bytes], or null if it can't be read. */
    fun table(bytes: ByteArray): TableCopy? = decode { cbor.decodeFromByteArray<TableCopy>(bytes) }

    private fun <T> decode(read: () -> T): T? = try {
        read()
    } catch (e: SerializationException) {
        null
    } catch (e: IllegalArgumentException) {
        null
    }
}
