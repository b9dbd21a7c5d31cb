@file:OptIn(ExperimentalSerializationApi::class)

package org.bilberrycart.gateway.records

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.peers.CborCodec

/** Encodes the contents of records as CBOR. */
public object RecordCodec {
    /** Returns [content] as bytes; one that is unreadable has none. */
    public fun encode(content: RecordContent?): Body =
        content?.let { Body(CborCodec.cbor.encodeToByteArray(it)) } ?: Body.EMPTY

    /** Returns the content in [bytes], or null if they are malformed. */
    public fun decode(bytes: Body): RecordContent? = CborCodec.decodeOrNull("stream_record") {
        it.decodeFromByteArray<RecordContent>(bytes.bytes)
    }
}
