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

/** The reply of a replication shard to a node that searches for a generation. */
@Serializable
public sealed class TakeoverMessage {
    /** The generation that is searched for. */
    public abstract val request: RequestId

    /** The number of the claim that this message replies to. */
    public abstract val claim: Long

    /** The sender owns the generation or holds a replica of it under [key]. */
    @Serializable
    @SerialName("f")
    @CborArray
    public data class Found(val key: ReplicaKey, override val claim: Long) : TakeoverMessage() {
        override val request: RequestId get() = key.request
    }

    /** The sender neither owns the generation nor holds a replica of it. */
    @Serializable
    @SerialName("n")
    @CborArray
    public data class NotFound(override val request: RequestId, override val claim: Long) :
        TakeoverMessage()

    /** The replica of the sender ends before the position of the caller. */
    @Serializable
    @SerialName("b")
    @CborArray
    public data class ReplicaBehind(override val request: RequestId, override val claim: Long) :
        TakeoverMessage()

    /** The generation must be claimed from [holder] instead; null if the holder is unknown. */
    @Serializable
    @SerialName("m")
    @CborArray
    public data class Moved(
        override val request: RequestId,
        override val claim: Long,
        val holder: VmId?,
    ) : TakeoverMessage()

    /** The sender owns the generation, of [size] tokens, which includes the caller's position. */
    @Serializable
    @SerialName("o")
    @CborArray
    public data class Owned(
        override val request: RequestId,
        override val claim: Long,
        val lineage: Lineage,
        val size: Int,
    ) : TakeoverMessage()

    /** The generation has ended; [texts] are those of all its tokens. */
    @Serializable
    @SerialName("w")
    @CborArray
    public data class Completed(
        override val claim: Long,
        val record: GenerationRecord,
        val lineage: Lineage,
        val texts: List<String>,
        val end: ReplicaEnd,
    ) : TakeoverMessage() {
        override val request: RequestId get() = record.id
    }

    /** The claim is refused permanently; [number] is that of the result code. */
    @Serializable
    @SerialName("r")
    @CborArray
    public data class Refused(
        override val request: RequestId,
        override val claim: Long,
        val number: Int,
    ) : TakeoverMessage()

    /** The claim cannot be decided now, for example because the table does not respond. */
    @Serializable
    @SerialName("u")
    @CborArray
    public data class Undecided(override val request: RequestId, override val claim: Long) :
        TakeoverMessage()
}
