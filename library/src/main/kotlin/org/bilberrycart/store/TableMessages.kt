package org.bilberrycart.store

import kotlinx.collections.immutable.toPersistentList
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Encodes and decodes the JSON messages of the platform's tables. */
internal object TableMessages {
    private val json = Json {
        ignoreUnknownKeys = true
        explicitNulls = false
    }

    fun encode(groups: List<WriteGroup>): String = json.encodeToString(
        TransactionMessage(groups.map { group -> GroupMessage(group.writes.map(::toMessage)) }),
    )

    fun decodeResults(body: String): StoreReply = StoreReply.Groups(
        json.decodeFromString<ResultsMessage>(body).results.map(::toResult).toPersistentList(),
    )

    fun decodeRow(body: String): StoreReply =
        StoreReply.Read(StoreResult.Found(json.decodeFromString<RowMessage>(body).toRow()))

    fun decodeRows(body: String): StoreReply {
        val rows = json.decodeFromString<RowsMessage>(body).rows
        return StoreReply.Read(StoreResult.Listed(rows.map { it.toRow() }.toPersistentList()))
    }

    private fun toMessage(write: RowWrite): WriteMessage = WriteMessage(
        key = write.key.toString(),
        condition = when (write.condition) {
            Condition.Absent -> "absent"
            Condition.Unconditional -> "any"
            is Condition.VersionIs -> "version"
        },
        version = (write.condition as? Condition.VersionIs)?.version,
        value = write.value,
        ttlMillis = write.expiresAfter?.inWholeMilliseconds,
    )

    private fun toResult(message: ResultMessage): StoreResult = when {
        message.applied -> StoreResult.Applied(message.version)
        else -> StoreResult.Conflict(RowKey.parse(message.key), message.row?.toRow())
    }

    private fun RowMessage.toRow(): Row = Row(RowKey.parse(key), value, version)
}

@Serializable
private data class TransactionMessage(val groups: List<GroupMessage>)

@Serializable
private data class GroupMessage(val writes: List<WriteMessage>)

@Serializable
private data class WriteMessage(
    val key: String,
    val condition: String,
    val version: Long? = null,
    val value: String? = null,
    val ttlMillis: Long? = null,
)

@Serializable
private data class ResultsMessage(val results: List<ResultMessage>)

@Serializable
private data class ResultMessage(
    val applied: Boolean,
    val version: Long = 0,
    val key: String = "",
    val row: RowMessage? = null,
)

@Serializable
private data class RowsMessage(val rows: List<RowMessage>)

@Serializable
private data class RowMessage(val key: String, val value: String, val version: Long)
