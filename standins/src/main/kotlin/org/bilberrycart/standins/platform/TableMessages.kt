package org.bilberrycart.standins.platform

import kotlinx.serialization.Serializable

/** The body of `POST /v1/transact`. */
@Serializable
data class TransactionMessage(val groups: List<GroupMessage>)

/** Writes that are applied all or not at all. */
@Serializable
data class GroupMessage(val writes: List<WriteMessage>)

/** One write; [condition] is `absent`, `version` or `any`, and a null [value] deletes the row. */
@Serializable
data class WriteMessage(
    val key: String,
    val condition: String,
    val version: Long? = null,
    val value: String? = null,
    val ttlMillis: Long? = null,
)

/** The answer to a transaction; one result for each group. */
@Serializable
data class ResultsMessage(val results: List<ResultMessage>)

/** What became of one group; [row] is the row that failed its condition. */
@Serializable
data class ResultMessage(
    val applied: Boolean,
    val version: Long = 0,
    val key: String = "",
    val row: RowMessage? = null,
)

/** The answer to a scan. */
@Serializable
data class RowsMessage(val rows: List<RowMessage>)

/** A row as callers see it. */
@Serializable
data class RowMessage(val key: String, val value: String, val version: Long)

/** The platform's list of VMs and upstreams. */
@Serializable
data class VmsMessage(val vms: List<VmMessage>)

/** One VM: a `node` or an `upstream`, `live` or `leaving`. */
@Serializable
data class VmMessage(
    val id: String,
    val kind: String,
    val state: String,
    val address: String = "",
    val port: Int = 0,
    val dataCentre: String = "",
)
