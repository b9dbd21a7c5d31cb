package org.bilberrycart.gateway.entry

import org.bilberrycart.gateway.model.CallHead
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.Refusal
import org.bilberrycart.gateway.model.RoutedCall
import org.bilberrycart.gateway.model.ServingConfiguration

/** What the entry filter asks for. */
public sealed class EntryAction {
    /** Hand [call] to placement. */
    public data class Forward(val call: RoutedCall, val version: Long) : EntryAction()

    /** Answer with [refusal]; [version] is that of the configuration which decided, if any. */
    public data class Refuse(
        val key: CallKey,
        val head: CallHead,
        val refusal: Refusal,
        val version: Long?,
    ) : EntryAction()

    /** Say that [configuration] is now in force. */
    public data class InForce(val configuration: ServingConfiguration) : EntryAction()
}
