package org.bilberrycart.gateway.peers

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.cbor.Cbor
import org.slf4j.LoggerFactory

/** The form of CBOR in which nodes write for each other: numeric labels in place of names. */
@OptIn(ExperimentalSerializationApi::class)
internal object CborCodec {
    val cbor: Cbor = Cbor {
        preferCborLabelsOverNames = true
        ignoreUnknownKeys = true
    }

    /**
     * Returns the result of [read], or null if it fails; [what] is for the log.
     *
     * The decoder throws many kinds of exceptions for truncated bytes, and recurses without limit
     * on nested chunks of a text of indefinite length.
     */
    fun <T> decodeOrNull(what: String, read: (Cbor) -> T): T? = try {
        read(cbor)
    } catch (e: RuntimeException) {
        malformed(what, e)
    } catch (e: StackOverflowError) {
        malformed(what, e)
    }

    private fun <T> malformed(what: String, cause: Throwable): T? {
        log.warn("event={}_malformed cause={}", what, cause.javaClass.simpleName)
        return null
    }

    private val log = LoggerFactory.getLogger(CborCodec::class.java)
}
