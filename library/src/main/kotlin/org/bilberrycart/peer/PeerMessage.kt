package org.bilberrycart.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.bilberrycart.membership.MembershipMessage

/** What one node tells another, by the filter that reacts to it. */
@Serializable
public sealed class PeerMessage {
    /** For the membership filter. */
    @Serializable
    @SerialName("m")
    @CborArray
    public data class Membership(val message: MembershipMessage) : PeerMessage()
}
