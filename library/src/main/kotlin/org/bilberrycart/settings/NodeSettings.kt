package org.bilberrycart.settings

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.Serializable
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.VmId

/**
 * The settings that apply to one VM only.
 *
 * @property callers where the node listens for callers.
 * @property operators where the node listens for operators and the metrics scraper.
 * @property peers where the node listens for other nodes, over TCP and UDP.
 * @property seeds addresses of other nodes through which to join, besides those that the platform
 *   lists.
 * @property operatorKeyHash the SHA-256 hash of the operator key, in lower-case hexadecimal.
 * @property peerSecretVariable the environment variable that holds the secret shared by the nodes.
 * @property platform the address of the platform's stores and VM list; null to run without them.
 * @property log the format of log lines.
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
