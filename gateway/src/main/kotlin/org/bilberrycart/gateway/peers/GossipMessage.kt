package org.bilberrycart.gateway.peers

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel
import org.bilberrycart.gateway.discovery.TableEdition
import org.bilberrycart.gateway.model.PartReport
import org.bilberrycart.gateway.model.RetryUse

/**
 * The message that a node repeatedly sends to other nodes; the newest replaces all earlier ones.
 *
 * @property sender the address at which the sender receives messages, HOST:PORT.
 * @property incarnation differs for each start of a process at that address, and grows.
 * @property sequence grows with each message of an incarnation.
 * @property members addresses of nodes from which the sender recently received messages.
 * @property loads the sender's attempts in progress at each upstream, by id.
 * @property lossAges how many milliseconds ago the sender lost each upstream, by id.
 * @property crashes the names of crashes of upstreams that began a call, by its fingerprint; those
 *   too that nodes reported which are gone.
 * @property editions how new the sender's copy of each table of the store is, by name of the table.
 * @property retries the sender's use of the retry budget of each service in the retry window.
 * @property parts what the sender knows of prompt parts that may crash upstreams.
 * @property configurationAge how many milliseconds ago the store told the sender that there is no
 *   newer configuration; null if it never did.
 * @property callers where the sender takes calls that others forward, HOST:PORT; null if it takes
 *   none.
 * @property unreached the services of which the sender reaches no upstream.
 */
@Serializable
public data class GossipMessage(
    @CborLabel(label = 1) val sender: String,
    @CborLabel(label = 2) val incarnation: Long,
    @CborLabel(label = 3) val sequence: Long,
    @CborLabel(label = 4) val members: List<String> = emptyList(),
    @CborLabel(label = 5) val loads: Map<String, Int> = emptyMap(),
    @CborLabel(label = 6) @SerialName("lost") val lossAges: Map<String, Int> = emptyMap(),
    @CborLabel(label = 12) val editions: Map<String, TableEdition> = emptyMap(),
    @CborLabel(label = 8) @SerialName("strikes")
    val crashes: Map<Long, List<String>> = emptyMap(),
    @CborLabel(label = 9) val retries: Map<String, RetryUse> = emptyMap(),
    @CborLabel(label = 10) val parts: PartReport = PartReport(),
    @CborLabel(label = 11) @SerialName("config") val configurationAge: Int? = null,
    @CborLabel(label = 13) val callers: String? = null,
    @CborLabel(label = 14) val unreached: Set<String> = emptySet(),
)
