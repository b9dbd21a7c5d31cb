package org.bilberrycart.replication

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.bilberrycart.model.EventId
import org.bilberrycart.model.Lineage
import org.bilberrycart.model.OrganisationId
import org.bilberrycart.model.RequestId

/** A message between replication shards of two nodes, which may be lost or repeated. */
@Serializable
public sealed class ReplicationMessage {
    /** The request that the message concerns; it determines the shard. */
    public abstract val request: RequestId

    /** Owner to holder: store this whole generation. */
    @Serializable
    @SerialName("s")
    @CborArray
    public data class Store(
        val key: ReplicaKey,
        val record: GenerationRecord,
        val lineage: Lineage,
        val texts: List<String>,
        val place: AttemptPlace?,
        val end: ReplicaEnd?,
    ) : ReplicationMessage() {
        override val request: RequestId get() = key.request
    }

    /** Owner to holder: append the tokens that start at index [from]. */
    @Serializable
    @SerialName("a")
    @CborArray
    public data class Append(
        val key: ReplicaKey,
        val from: Int,
        val texts: List<String>,
        val place: AttemptPlace?,
        val end: ReplicaEnd?,
    ) : ReplicationMessage() {
        override val request: RequestId get() = key.request
    }

    /** Holder to owner: the replica has the first [count] tokens and, if [hasEnd], the end. */
    @Serializable
    @SerialName("k")
    @CborArray
    public data class Acknowledge(val key: ReplicaKey, val count: Int, val hasEnd: Boolean) :
        ReplicationMessage() {
        override val request: RequestId get() = key.request
    }

    /** Holder to owner: there is no such replica here, send the whole generation. */
    @Serializable
    @SerialName("m")
    @CborArray
    public data class Missing(val key: ReplicaKey) : ReplicationMessage() {
        override val request: RequestId get() = key.request
    }

    /** Holder to owner: [key] has ended, and its owner may release nothing more under it. */
    @Serializable
    @SerialName("f")
    @CborArray
    public data class Fence(val key: ReplicaKey) : ReplicationMessage() {
        override val request: RequestId get() = key.request
    }

    /** Owner to holder: drop the replica, so that the owner can replace it without the table. */
    @Serializable
    @SerialName("d")
    @CborArray
    public data class Drop(val key: ReplicaKey) : ReplicationMessage() {
        override val request: RequestId get() = key.request
    }

    /** Holder to owner: the replica is dropped and will not be granted to any node. */
    @Serializable
    @SerialName("D")
    @CborArray
    public data class Dropped(val key: ReplicaKey) : ReplicationMessage() {
        override val request: RequestId get() = key.request
    }

    /** Holder to owner: another node claims the generation; stop and answer [Yielded]. */
    @Serializable
    @SerialName("y")
    @CborArray
    public data class Yield(val key: ReplicaKey) : ReplicationMessage() {
        override val request: RequestId get() = key.request
    }

    /** Owner to holder: the owner releases nothing more under [key]. */
    @Serializable
    @SerialName("Y")
    @CborArray
    public data class Yielded(val key: ReplicaKey) : ReplicationMessage() {
        override val request: RequestId get() = key.request
    }

    /** Owner to holder: the owner went on without this replica, which is to be discarded. */
    @Serializable
    @SerialName("v")
    @CborArray
    public data class Superseded(val key: ReplicaKey) : ReplicationMessage() {
        override val request: RequestId get() = key.request
    }

    /** Claimant to any node: asks whether the generation is owned or held there. */
    @Serializable
    @SerialName("q")
    @CborArray
    public data class Find(override val request: RequestId, val claim: Long) :
        ReplicationMessage()

    /** Claimant to holder: make the sender the owner; its caller has received up to [after]. */
    @Serializable
    @SerialName("c")
    @CborArray
    public data class Claim(
        override val request: RequestId,
        val claim: Long,
        val organisation: OrganisationId,
        val after: EventId?,
    ) : ReplicationMessage()

    /** Holder to claimant: the claimant owns the generation under [key]; the sender holds it. */
    @Serializable
    @SerialName("g")
    @CborArray
    public data class Granted(
        val key: ReplicaKey,
        val claim: Long,
        val record: GenerationRecord,
        val lineage: Lineage,
        val texts: List<String>,
        val place: AttemptPlace?,
    ) : ReplicationMessage() {
        override val request: RequestId get() = key.request
    }
}
