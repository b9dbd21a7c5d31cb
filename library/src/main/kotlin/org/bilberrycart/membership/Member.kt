package org.bilberrycart.membership

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.VmId

/**
 * A node as the other nodes know it.
 *
 * @property address the IP address on which it listens for peers.
 * @property port the TCP port on which it listens for peers.
 */
@Serializable
@CborArray
public data class Member(
    val vm: VmId,
    val address: String,
    val port: Int,
    val dataCentre: DataCentreId,
) {
    /** Where the member listens. */
    public val peerAddress: PeerAddress
        get() = PeerAddress(address, port)
}
