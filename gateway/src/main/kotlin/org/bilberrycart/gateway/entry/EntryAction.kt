package org.bilberrycart.gateway.entry

import org.bilberrycart.gateway.model.CallHead
import org.bilberrycart.gateway.model.CallKey
import org.bilberrycart.gateway.model.Refusal
import org.bilberrycart.gateway.model.RoutedCall
import org.bilberrycart.gateway.model.ServingConfiguration

/** The actions that the entry filter requests. */
public sealed class EntryAction {
    /** Passes [call] to placement; [version] is the version of the configuration that routed it. */
    public data class Forward(val call: RoutedCall, val version: Long) : EntryAction()

    /** Tells placement, after it has received the call, that its caller has closed. */
    public data class ReportGone(val key: CallKey) : EntryAction()

    /**
     * Answers the caller with [refusal]; [version] is the version of the configuration in force,
     * or null if none has been received.
     */
    public data class Refuse(
        val key: CallKey,
        val head: CallHead,
        val refusal: Refusal,
        val version: Long?,
    ) : EntryAction()

    /** Reports that [configuration] now applies to incoming requests. */
    public data class ConfigurationApplied(val configuration: ServingConfiguration) : EntryAction()
}
