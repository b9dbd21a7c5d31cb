package org.bilberrycart.replication

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.bilberrycart.model.AttemptId
import org.bilberrycart.model.UpstreamId

/** Where the current attempt runs; a new owner may attach to the stream again. */
@Serializable
@CborArray
public data class AttemptPlace(val attempt: AttemptId, val upstream: UpstreamId)
