package org.bilberrycart.membership

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.bilberrycart.model.VmId

/** What members tell each other; each message carries [updates] besides its own content. */
@Serializable
public sealed class MembershipMessage {
    /** Claims that are still spreading, a bounded number. */
    public abstract val updates: List<MemberRecord>

    /** Asks for an [Ack] with the same [sequence]; the sender is at [incarnation]. */
    @Serializable
    @SerialName("p")
    @CborArray
    public data class Ping(
        val sequence: Long,
        val incarnation: Long,
        override val updates: List<MemberRecord>,
    ) : MembershipMessage()

    /** Answers the ping, or the ping request, with the same [sequence]. */
    @Serializable
    @SerialName("a")
    @CborArray
    public data class Ack(
        val sequence: Long,
        val incarnation: Long,
        override val updates: List<MemberRecord>,
    ) : MembershipMessage()

    /** Asks the receiver to ping [target] and to pass the answer on. */
    @Serializable
    @SerialName("i")
    @CborArray
    public data class PingRequest(
        val sequence: Long,
        val target: VmId,
        override val updates: List<MemberRecord>,
    ) : MembershipMessage()

    /** Asks for all members; sent once by a node that starts or was alone. */
    @Serializable
    @SerialName("j")
    @CborArray
    public data class Join(override val updates: List<MemberRecord>) : MembershipMessage()

    /** A part of the answer to [Join]. */
    @Serializable
    @SerialName("m")
    @CborArray
    public data class Members(override val updates: List<MemberRecord>) : MembershipMessage()
}
