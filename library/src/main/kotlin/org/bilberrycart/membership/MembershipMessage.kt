package org.bilberrycart.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.bilberrycart.model.VmId

/** A message between members; each one piggybacks [updates] on its own content. */
@Serializable
public sealed class MembershipMessage {
    /** A bounded number of records that are still being disseminated. */
    public abstract val updates: List<MemberRecord>

    /** Asks for an [Ack] with the same [sequence]; the sender's incarnation is [incarnation]. */
    @Serializable
    @SerialName("p")
    @CborArray
    public data class Ping(
        val sequence: Long,
        val incarnation: Long,
        override val updates: List<MemberRecord>,
    ) : MembershipMessage()

    /** Answers the [Ping] or [PingRequest] with the same [sequence]. */
    @Serializable
    @SerialName("a")
    @CborArray
    public data class Ack(
        val sequence: Long,
        val incarnation: Long,
        override val updates: List<MemberRecord>,
    ) : MembershipMessage()

    /** Asks the receiver to ping [target] and to forward the [Ack]. */
    @Serializable
    @SerialName("i")
    @CborArray
    public data class PingRequest(
        val sequence: Long,
        val target: VmId,
        override val updates: List<MemberRecord>,
    ) : MembershipMessage()

    /** Asks for all members; sent once by a node that starts or that knew no live member. */
    @Serializable
    @SerialName("j")
    @CborArray
    public data class Join(override val updates: List<MemberRecord>) : MembershipMessage()

    /** One page of the answer to [Join]. */
    @Serializable
    @SerialName("m")
    @CborArray
    public data class Members(override val updates: List<MemberRecord>) : MembershipMessage()
}
