package org.bilberrycart.replication

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.UpstreamId

/** The upstream on which an attempt runs, so that a new owner can reattach to its stream. */
@Serializable
@CborArray
public data class AttemptPlace(val attempt: AttemptId, val upstream: UpstreamId)
