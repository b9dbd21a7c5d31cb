package org.bilberrycart.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.bilberrycart.membership.MembershipMessage
import org.bilberrycart.news.GossipPayload
import org.bilberrycart.replication.ReplicationMessage
import org.bilberrycart.takeover.TakeoverMessage

/** What one node tells another, by the filter that reacts to it. */
@Serializable
public sealed class PeerMessage {
    /** For the membership filter. */
    @Serializable
    @SerialName("m")
    @CborArray
    public data class Membership(val message: MembershipMessage) : PeerMessage()

    /** For the replication shards, by the request of each message. */
    @Serializable
    @SerialName("r")
    @CborArray
    public data class Replication(val messages: List<ReplicationMessage>) : PeerMessage()

    /** For the news filter. */
    @Serializable
    @SerialName("n")
    @CborArray
    public data class Gossip(val message: GossipPayload) : PeerMessage()

    /** For the takeover filter. */
    @Serializable
    @SerialName("t")
    @CborArray
    public data class Takeover(val message: TakeoverMessage) : PeerMessage()
}
