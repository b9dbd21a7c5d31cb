package org.bilberrycart.replication

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** The owner of [epoch] continued the generation at [firstIndex]. */
@Serializable
@CborArray
public data class EpochStart(val epoch: Int, val firstIndex: Int)
