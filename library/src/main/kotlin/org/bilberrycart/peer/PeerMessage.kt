package org.bilberrycart.peer

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.bilberrycart.membership.MembershipMessage
import org.bilberrycart.news.GossipPayload
import org.bilberrycart.replication.ReplicationMessage
import org.bilberrycart.takeover.TakeoverMessage

/** A message between nodes, wrapped for the filter of the receiver that handles it. */
@Serializable
public sealed class PeerMessage {
    /** A message for `MembershipFilter`. */
    @Serializable
    @SerialName("m")
    @CborArray
    public data class Membership(val message: MembershipMessage) : PeerMessage()

    /** Messages for the replication shards, each for the shard of its request. */
    @Serializable
    @SerialName("r")
    @CborArray
    public data class Replication(val messages: List<ReplicationMessage>) : PeerMessage()

    /** A message for `GossipFilter`. */
    @Serializable
    @SerialName("n")
    @CborArray
    public data class Gossip(val message: GossipPayload) : PeerMessage()

    /** A message for the takeover filter. */
    @Serializable
    @SerialName("t")
    @CborArray
    public data class Takeover(val message: TakeoverMessage) : PeerMessage()
}
