package org.bilberrycart.configuration

import org.bilberrycart.model.VmId

/** What the configuration duty reacts to. */
public sealed class ConfigurationEvent {
    /** The store says that [version] is the newest; 0 if there is none. It may be out of date. */
    public data class HeadRead(val version: Long) : ConfigurationEvent()

    /** The store has [document]; null if it does not have the version that was asked for. */
    public data class DocumentRead(val document: ConfigurationDocument?) : ConfigurationEvent()

    /** A read of the store brought nothing. */
    public data object StoreFailed : ConfigurationEvent()

    /** [peer] has [version] in force. */
    public data class PeerHasVersion(val peer: VmId, val version: Long) : ConfigurationEvent()

    /** A peer sent the [document] that it has in force. */
    public data class PeerDocument(val document: ConfigurationDocument) : ConfigurationEvent()

    /** [peer] wants the document in force. */
    public data class PeerAsked(val peer: VmId) : ConfigurationEvent()

    /** Time has passed. */
    public data object Tick : ConfigurationEvent()
}
