package org.bilberrycart.configuration

import org.bilberrycart.model.VmId

/** An event that the configuration duty handles. */
public sealed class ConfigurationEvent {
    /** The store named [version] as the newest, or 0 if there is none; it may be out of date. */
    public data class HeadRead(val version: Long) : ConfigurationEvent()

    /** The store returned [document]; null if it does not have the requested version. */
    public data class DocumentRead(val document: ConfigurationDocument?) : ConfigurationEvent()

    /** A read of the store failed. */
    public data object StoreFailed : ConfigurationEvent()

    /** [peer] announced that it has [version] in force. */
    public data class PeerHasVersion(val peer: VmId, val version: Long) : ConfigurationEvent()

    /** An operator's command reported that [version] was accepted. */
    public data class VersionAccepted(val version: Long) : ConfigurationEvent()

    /** A peer sent the [document] that it has in force. */
    public data class PeerDocument(val document: ConfigurationDocument) : ConfigurationEvent()

    /** [peer] asked for the document that is in force here. */
    public data class PeerRequestedDocument(val peer: VmId) : ConfigurationEvent()

    /** The number of live nodes is now [nodes]. */
    public data class FleetChanged(val nodes: Int) : ConfigurationEvent()

    /** The report of [version] was stored, or could not be stored if not [isStored]. */
    public data class ReportCompleted(val version: Long, val isStored: Boolean) :
        ConfigurationEvent()

    /** A periodic signal to make the reads and reports that are due. */
    public data object Tick : ConfigurationEvent()
}
