package org.bilberrycart.gateway.peers

import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.slf4j.LoggerFactory

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

    /**
     * The decoder ends bytes that were cut with exceptions of many kinds, and recurses without
     * bound on chunks of a text of indefinite length.
     */
    private fun <T> decode(read: () -> T): T? = try {
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

    private val log = LoggerFactory.getLogger(PeerCodec::class.java)
}
