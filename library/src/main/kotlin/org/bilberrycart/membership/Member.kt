package org.bilberrycart.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.VmId

/**
 * Identifies one process of a VM to the other nodes.
 *
 * A VM that restarts has no state, so its new process is a different member. Messages that were
 * addressed to the old process must not reach the new one.
 *
 * @property address the IP address on which the process listens for peers.
 * @property port the TCP port on which the process listens for peers.
 * @property processNumber increases with each process of the VM, for example its start time in
 *   milliseconds.
 */
@Serializable
@CborArray
public data class Member(
    val vm: VmId,
    val address: String,
    val port: Int,
    val dataCentre: DataCentreId,
    @SerialName("run") val processNumber: Long = 0,
) {
    /** The address on which the member listens for peers. */
    public val peerAddress: PeerAddress
        get() = PeerAddress(address, port)
}
