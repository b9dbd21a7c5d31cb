package org.bilberrycart.gateway.node

import org.bilberrycart.gateway.crashes.CrashRecordsAction
import org.bilberrycart.gateway.discovery.ConfigurationRow
import org.bilberrycart.gateway.discovery.DiscoveryAction
import org.bilberrycart.gateway.discovery.StoreRow
import org.bilberrycart.gateway.origins.OriginsAction
import org.bilberrycart.gateway.records.RecordTable
import org.slf4j.LoggerFactory

/** Logs a line, as [DecisionLog] does, for what a node reads from the store and writes to it. */
internal class StoreLog {
    fun storeStatus(action: DiscoveryAction.StoreStatusChanged) = log.info(
        "event=store_{} table={} cause=\"{}\"",
        if (action.isAvailable) "back" else "lost",
        action.table,
        action.cause,
    )

    fun storeCallGivenUp(action: DiscoveryAction.GiveUp) = log.warn(
        "event=store_call_given_up table={} call={} age_ms={}",
        action.table,
        action.call,
        action.age.inWholeMilliseconds,
    )

    fun versionDisproved(action: DiscoveryAction.VersionDisproved) = log.warn(
        "event=table_version_disproved table={} version={}",
        action.table,
        action.version,
    )

    fun storeEraChanged(action: DiscoveryAction.EraChanged) = log.warn(
        "event=store_era_changed table={} version={} known_version={}",
        action.table,
        action.version,
        action.known,
    )

    fun tableRead(action: DiscoveryAction.Publish, unreadable: List<String>) = log.info(
        "event=table_read table={} version={} rows={} unreadable={} first_unreadable={}",
        action.table,
        action.version,
        action.rows.size,
        unreadable.size,
        unreadable.take(MAX_LOGGED_ROWS),
    )

    fun configurationUnreadable(row: StoreRow) =
        log.warn("event=configuration_unreadable row_version={}", row.version)

    fun configurationIncomplete(row: ConfigurationRow.Read) = log.warn(
        "event=configuration_incomplete version={} left_out={} first_left_out={}",
        row.configuration.version,
        row.leftOut.size,
        row.leftOut.take(MAX_LOGGED_ROWS),
    )

    fun tableRequested(action: DiscoveryAction.AskPeer, outcome: String) = log.info(
        "event=table_from_peer table={} peer={} outcome=\"{}\"",
        action.table,
        action.address,
        outcome,
    )

    fun originFound(action: OriginsAction.Found) = log.info(
        "event=stream_origin call={} origin={}",
        action.call.number,
        action.origin,
    )

    fun recordingChanged(action: OriginsAction.RecordingChanged) = log.info(
        "event=stream_recording_{}",
        if (action.isRecording) "begun" else "ended",
    )

    fun versionsLimited(action: OriginsAction.BeginOnlyAt) = log.info(
        "event=stream_versions_limited versions={}",
        action.versions.entries.joinToString(",") { (name, version) -> "${name.value}:$version" },
    )

    fun recordCallFailed(table: RecordTable, call: String, cause: String) =
        log.warn("event=records_failed table={} call={} cause=\"{}\"", table, call, cause)

    fun crashesRecalled(action: CrashRecordsAction.Found) = log.info(
        "event=crashes_recalled records={} contents={} blocked_parts={}",
        action.known.size,
        action.known.flatMap { it.calls.keys }.distinct().size,
        action.known.flatMap { it.parts.blockedAges.keys }.distinct().size,
    )

    private companion object {
        const val MAX_LOGGED_ROWS = 4
        val log = LoggerFactory.getLogger(StoreLog::class.java)
    }
}
