package org.bilberrycart.gateway.discovery

/** The tables of the store that a node follows. */
public enum class StoreTable {
    /** The configuration set by the operator. */
    CONFIGURATION,

    /** The registered upstreams. */
    UPSTREAMS,
}
