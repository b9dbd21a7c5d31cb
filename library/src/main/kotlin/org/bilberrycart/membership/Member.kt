package org.bilberrycart.membership

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.bilberrycart.model.DataCentreId
import org.bilberrycart.model.VmId

/**
 * One process of a VM as the other nodes know it.
 *
 * A VM that restarts kept nothing, so its new process is another member: what was meant for the old
 * one must not reach it.
 *
 * @property address the IP address on which it listens for peers.
 * @property port the TCP port on which it listens for peers.
 * @property run rises with each process of the VM, such as its start time in milliseconds.
 */
@Serializable
@CborArray
public data class Member(
    val vm: VmId,
    val address: String,
    val port: Int,
    val dataCentre: DataCentreId,
    val run: Long = 0,
) {
    /** Where the member listens. */
    public val peerAddress: PeerAddress
        get() = PeerAddress(address, port)
}
