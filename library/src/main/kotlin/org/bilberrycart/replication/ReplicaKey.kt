package org.bilberrycart.replication

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.bilberrycart.model.RequestId

/**
 * One agreement between an owner and a holder.
 *
 * @property epoch rises by one when another node takes the generation over.
 * @property term rises by one when the owner of an epoch moves on to another holder.
 */
@Serializable
@CborArray
public data class ReplicaKey(val request: RequestId, val epoch: Int, val term: Int) :
    Comparable<ReplicaKey> {
    override fun compareTo(other: ReplicaKey): Int =
        compareValuesBy(this, other, { it.epoch }, { it.term })
}
