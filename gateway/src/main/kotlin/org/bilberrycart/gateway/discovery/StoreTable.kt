package org.bilberrycart.gateway.discovery

/** The tables that a node follows. */
public enum class StoreTable {
    /** What the operator wants. */
    CONFIGURATION,

    /** Which upstreams there are. */
    UPSTREAMS,
}
