package org.bilberrycart.standins.platform

import kotlinx.serialization.Serializable

/** The body of `POST /v1/transact`. */
@Serializable
data class TransactionMessage(val groups: List<GroupMessage>)

/** Writes of which all or none are applied. */
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

/** The answer to a transaction, with one result for each group in order. */
@Serializable
data class ResultsMessage(val results: List<ResultMessage>)

/**
 * The result of one group.
 *
 * @property version the version of the written rows; 0 if the group was not applied.
 * @property key the key whose condition failed; empty if the group was applied.
 * @property row the current row of [key]; null if there is none.
 */
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

/** A row as it is sent to callers. */
@Serializable
data class RowMessage(val key: String, val value: String, val version: Long)

/** The platform's list of VMs and upstreams. */
@Serializable
data class VmsMessage(val vms: List<VmMessage>)

/** A VM whose [kind] is `node` or `upstream` and whose [state] is `live` or `leaving`. */
@Serializable
data class VmMessage(
    val id: String,
    val kind: String,
    val state: String,
    val address: String = "",
    val port: Int = 0,
    val dataCentre: String = "",
)
