package org.bilberrycart.configuration

import org.bilberrycart.model.VmId

/** An action that the configuration duty requests. */
public sealed class ConfigurationAction {
    /** Read the number of the newest version from the store. */
    public data object ReadHead : ConfigurationAction()

    /** Read the document of [version] from the store. */
    public data class ReadDocument(val version: Long) : ConfigurationAction()

    /** Put [document] in force for new requests; requests in progress keep their configuration. */
    public data class Adopt(val document: ConfigurationDocument) : ConfigurationAction()

    /** Tell the other nodes that [version] is in force here. */
    public data class AnnounceVersion(val version: Long) : ConfigurationAction()

    /** Write to the store, for operators, that [version] is in force here. */
    public data class Report(val version: Long) : ConfigurationAction()

    /** Ask [peer] for the document that it has in force. */
    public data class RequestDocument(val peer: VmId) : ConfigurationAction()

    /** Send [document] to [peer]. */
    public data class SendDocument(val peer: VmId, val document: ConfigurationDocument) :
        ConfigurationAction()

    /** Report whether the configuration duty allows new work on this node, as [isReady] says. */
    public data class ReadinessChanged(val isReady: Boolean) : ConfigurationAction()
}
