package org.bilberrycart.gateway.discovery

import org.bilberrycart.gateway.model.UpstreamEntry

/** Parses rows of the store. */
public interface RowReader {
    /** Returns what [row] says about the configuration. */
    public fun configuration(row: StoreRow): ConfigurationRow

    /** Returns the upstream that [row] describes, or null if it cannot be parsed. */
    public fun upstream(row: StoreRow): UpstreamEntry?
}
