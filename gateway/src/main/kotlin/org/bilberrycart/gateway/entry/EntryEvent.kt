package org.bilberrycart.gateway.entry

import kotlin.time.Duration
import org.bilberrycart.gateway.model.Body
import org.bilberrycart.gateway.model.CallHead
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.ServingConfiguration

/** What reaches the entry filter. */
public sealed class EntryEvent {
    /** A whole request was read; its head came at [arrivedAt]. */
    public data class Received(
        val key: CallKey,
        val head: CallHead,
        val body: Body,
        val arrivedAt: Duration,
    ) : EntryEvent()

    /** From now on only [intake] is taken. */
    public data class Limit(val intake: Intake) : EntryEvent()

    /** A configuration was read from the store or came from a peer. */
    public data class Configured(val configuration: ServingConfiguration) : EntryEvent()
}
