package org.bilberrycart.configuration

import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds
import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.bilberrycart.model.VmId
import org.bilberrycart.store.Condition
import org.bilberrycart.store.PlatformEvent
import org.bilberrycart.store.Row
import org.bilberrycart.store.RowKey
import org.bilberrycart.store.RowWrite
import org.bilberrycart.store.StoreResult
import org.bilberrycart.store.WriteGroup

/** Translates between the configuration duty and the rows that store the configuration as JSON. */
public object ConfigurationStore {
    private const val TABLE = "configuration"
    private const val VERSION_DIGITS = 12
    private const val REPORT_PREFIX = "node."
    private val CALL_TIMEOUT = 2.seconds
    private val REPORT_RETENTION = 1.hours
    private val json = Json { ignoreUnknownKeys = true }

    /** The key of the head row, which names the newest version. */
    public val headKey: RowKey = RowKey(TABLE, "head")

    /** Returns the key of the row that stores the document of [version]. */
    public fun documentKey(version: Long): RowKey =
        RowKey(TABLE, "document." + version.toString().padStart(VERSION_DIGITS, '0'))

    /** Returns the version that the head or report [row] names, or 0 if there is no row. */
    public fun decodeHead(row: Row?): Long =
        row?.let { json.decodeFromString<HeadMessage>(it.value).version } ?: 0

    /** Returns the document that [row] stores. */
    public fun decodeDocument(row: Row): ConfigurationDocument = json.decodeFromString(row.value)

    /** Returns the writes that make [document] the newest one, if [head] is still the head row. */
    public fun publication(document: ConfigurationDocument, head: Row?): WriteGroup {
        val condition = head?.let { Condition.VersionIs(it.version) } ?: Condition.Absent
        val text = json.encodeToString(HeadMessage(document.version))
        val content = json.encodeToString(document)
        return WriteGroup(
            persistentListOf(
                RowWrite(headKey, condition, text),
                RowWrite(documentKey(document.version), Condition.Absent, content),
            ),
        )
    }

    /** Returns the call to the platform duty that carries out [action]; null if it needs none. */
    public fun toCall(action: ConfigurationAction, self: VmId, now: Duration): PlatformEvent.Call? =
        when (action) {
            ConfigurationAction.ReadHead ->
                PlatformEvent.Read(ConfigurationContext.Head, headKey, now + CALL_TIMEOUT)
            is ConfigurationAction.ReadDocument -> PlatformEvent.Read(
                ConfigurationContext.Document,
                documentKey(action.version),
                now + CALL_TIMEOUT,
            )
            is ConfigurationAction.Report -> report(self, action.version, now)
            is ConfigurationAction.Adopt,
            is ConfigurationAction.AnnounceVersion,
            is ConfigurationAction.RequestDocument,
            is ConfigurationAction.SendDocument,
            is ConfigurationAction.ReadinessChanged,
            -> null
        }

    /** Returns the event that reports [result] to the configuration duty. */
    public fun toEvent(context: ConfigurationContext, result: StoreResult): ConfigurationEvent {
        val row = (result as? StoreResult.Found)?.row
        return when {
            context is ConfigurationContext.Report -> ConfigurationEvent.ReportCompleted(
                context.version,
                isStored = result is StoreResult.Applied,
            )
            result !is StoreResult.Found -> ConfigurationEvent.StoreFailed
            context is ConfigurationContext.Head -> ConfigurationEvent.HeadRead(decodeHead(row))
            else -> ConfigurationEvent.DocumentRead(row?.let(::decodeDocument))
        }
    }

    /** Returns the version that each node last reported, from its report row in [rows]. */
    public fun decodeReports(rows: List<Row>): Map<VmId, Long> = rows.associate { row ->
        VmId(row.key.name.removePrefix(REPORT_PREFIX)) to decodeHead(row)
    }

    /** The table and the name prefix of the rows in which nodes report the version in force. */
    public val reportPrefix: RowKey = RowKey(TABLE, REPORT_PREFIX)

    private fun report(self: VmId, version: Long, now: Duration): PlatformEvent.Call {
        val row = RowWrite(
            RowKey(TABLE, REPORT_PREFIX + self.value),
            Condition.Unconditional,
            json.encodeToString(HeadMessage(version)),
            expiresAfter = REPORT_RETENTION,
        )
        val context = ConfigurationContext.Report(version)
        return PlatformEvent.Write(context, WriteGroup.of(row), now + CALL_TIMEOUT)
    }
}

@Serializable
private data class HeadMessage(val version: Long)
