package org.bilberrycart.gateway.entry

import kotlin.time.Duration
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.CallHead
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.ServingConfiguration

/** The inputs of the entry filter. */
public sealed class EntryEvent {
    /** A complete request was read; its head arrived at [arrivedAt]. */
    public data class Received(
        val key: CallKey,
        val head: CallHead,
        val body: Body,
        val arrivedAt: Duration,
    ) : EntryEvent()

    /** The caller of an accepted request closed its connection before its answer was complete. */
    public data class CallerGone(val key: CallKey) : EntryEvent()

    /** From now on only the requests that [intake] allows are accepted. */
    public data class IntakeLimited(val intake: RequestIntake) : EntryEvent()

    /** A configuration was read from the store or received from a peer. */
    public data class Configured(val configuration: ServingConfiguration) : EntryEvent()
}
