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

    /** An operator's command says that [version] is accepted. */
    public data class VersionAccepted(val version: Long) : ConfigurationEvent()

    /** A peer sent the [document] that it has in force. */
    public data class PeerDocument(val document: ConfigurationDocument) : ConfigurationEvent()

    /** [peer] wants the document in force. */
    public data class PeerAsked(val peer: VmId) : ConfigurationEvent()

    /** The fleet has [nodes] live nodes. */
    public data class FleetChanged(val nodes: Int) : ConfigurationEvent()

    /** The report that [version] is in force here was stored, or not if not [isDone]. */
    public data class Reported(val version: Long, val isDone: Boolean) : ConfigurationEvent()

    /** Time has passed. */
    public data object Tick : ConfigurationEvent()
}
