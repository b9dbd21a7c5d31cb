package org.bilberrycart.configuration

import org.bilberrycart.store.StoreContext

/** Identifies the store call of the configuration duty that a result belongs to. */
public sealed class ConfigurationContext : StoreContext {
    /** The read of the number of the newest version. */
    public data object Head : ConfigurationContext()

    /** The read of a document. */
    public data object Document : ConfigurationContext()

    /** The report that [version] is in force. */
    public data class Report(val version: Long) : ConfigurationContext()
}
