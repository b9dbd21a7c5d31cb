package org.bilberrycart.idempotency

import java.security.MessageDigest
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bilberrycart.store.Row
import org.bilberrycart.store.RowKey

/** Converts call records to and from rows of the platform's table. */
public object CallRecordCodec {
    private val json = Json { ignoreUnknownKeys = true }

    /** Returns the row key of [key]: a SHA-256 digest, since a caller's key may be any text. */
    public fun rowKeyOf(key: RecordKey): RowKey {
        val text = listOf(key.organisation.value, key.service.value, key.key.value)
            .joinToString(separator = "\u0000")
        val digest = MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray())
        return RowKey(TABLE, digest.joinToString(separator = "") { "%02x".format(it) })
    }

    /** Returns the row value for the [record] of [key]. */
    public fun encode(key: RecordKey, record: CallRecord): String = json.encodeToString(
        RecordMessage(key.organisation.value, key.service.value, key.key.value, record),
    )

    /** Returns the record stored in [row]. */
    public fun decode(row: Row): StoredRecord =
        StoredRecord(json.decodeFromString<RecordMessage>(row.value).record, row.version)

    private const val TABLE = "calls"
}

@Serializable
private data class RecordMessage(
    val organisation: String,
    val service: String,
    val key: String,
    val record: CallRecord,
)
