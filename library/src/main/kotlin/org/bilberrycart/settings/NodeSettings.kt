package org.bilberrycart.settings

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.VmId

/**
 * What is local to one VM.
 *
 * @property callers where callers connect.
 * @property operators where operators and the metrics scraper connect.
 * @property peers where other nodes connect, over TCP and UDP.
 * @property seeds addresses of other nodes to join by, beside those that the platform lists.
 * @property operatorKeyHash the SHA-256 of the operator key, in lower-case hexadecimal.
 * @property peerSecretVariable the environment variable that holds the secret shared by the nodes.
 * @property platform where the platform's stores and lists are; null for a node without platform.
 * @property log the form of log lines.
 */
@Serializable
public data class NodeSettings(
    val vm: VmId,
    val dataCentre: DataCentreId,
    val callers: Endpoint,
    val operators: Endpoint,
    val peers: Endpoint,
    val seeds: SettingsList<Endpoint> = persistentListOf(),
    val operatorKeyHash: String,
    val peerSecretVariable: String = "BILBERRYCART_PEER_SECRET",
    val platform: Endpoint? = null,
    val log: LogFormat = LogFormat.KEY_VALUE,
)
