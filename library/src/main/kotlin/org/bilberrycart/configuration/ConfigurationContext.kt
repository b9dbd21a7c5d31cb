package org.bilberrycart.configuration

import org.bilberrycart.platform.StoreContext

/** Which read of the configuration duty a result belongs to. */
public enum class ConfigurationContext : StoreContext {
    /** The number of the newest version. */
    HEAD,

    /** A document. */
    DOCUMENT,
}
