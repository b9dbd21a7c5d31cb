package org.bilberrycart.takeover

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.bilberrycart.model.Lineage
import org.bilberrycart.model.RequestId
import org.bilberrycart.model.VmId
import org.bilberrycart.replication.GenerationRecord
import org.bilberrycart.replication.ReplicaEnd
import org.bilberrycart.replication.ReplicaKey

/** How a replication shard answers a node that looks for a generation. */
@Serializable
public sealed class TakeoverMessage {
    public abstract val request: RequestId

    /** The number of the claim that is answered. */
    public abstract val claim: Long

    /** A replica, or the owned generation itself, is here under [key]. */
    @Serializable
    @SerialName("f")
    @CborArray
    public data class Found(val key: ReplicaKey, override val claim: Long) : TakeoverMessage() {
        override val request: RequestId get() = key.request
    }

    /** Nothing of the generation is here. */
    @Serializable
    @SerialName("n")
    @CborArray
    public data class NotHere(override val request: RequestId, override val claim: Long) :
        TakeoverMessage()

    /** The replica here ends before the caller's position. */
    @Serializable
    @SerialName("b")
    @CborArray
    public data class Behind(override val request: RequestId, override val claim: Long) :
        TakeoverMessage()

    /** The generation is to be claimed of [holder]; null if that is not known. */
    @Serializable
    @SerialName("m")
    @CborArray
    public data class Moved(
        override val request: RequestId,
        override val claim: Long,
        val holder: VmId?,
    ) : TakeoverMessage()

    /** This node owns the generation and the caller's position lies on it. */
    @Serializable
    @SerialName("o")
    @CborArray
    public data class OwnedHere(
        override val request: RequestId,
        override val claim: Long,
        val lineage: Lineage,
        val size: Int,
    ) : TakeoverMessage()

    /** The generation is over; this is the whole of it. */
    @Serializable
    @SerialName("w")
    @CborArray
    public data class Whole(
        override val claim: Long,
        val record: GenerationRecord,
        val lineage: Lineage,
        val texts: List<String>,
        val end: ReplicaEnd,
    ) : TakeoverMessage() {
        override val request: RequestId get() = record.id
    }

    /** The claim is refused for good with the result of [number]. */
    @Serializable
    @SerialName("r")
    @CborArray
    public data class Refused(
        override val request: RequestId,
        override val claim: Long,
        val number: Int,
    ) : TakeoverMessage()

    /** The claim cannot be decided now, such as because the table does not answer. */
    @Serializable
    @SerialName("u")
    @CborArray
    public data class Undecided(override val request: RequestId, override val claim: Long) :
        TakeoverMessage()
}
