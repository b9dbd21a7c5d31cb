package org.bilberrycart.replication

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.bilberrycart.model.RequestId

/**
 * Identifies one agreement between an owner and a holder that the holder keeps a replica.
 *
 * @property epoch increases by one when another node takes the generation over.
 * @property term increases by one when the owner of an epoch switches to another holder.
 */
@Serializable
@CborArray
public data class ReplicaKey(val request: RequestId, val epoch: Int, val term: Int) :
    Comparable<ReplicaKey> {
    override fun compareTo(other: ReplicaKey): Int =
        compareValuesBy(this, other, { it.epoch }, { it.term })
}
