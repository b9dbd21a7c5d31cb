package org.bilberrycart.gateway.discovery

import org.bilberrycart.gateway.model.ServingConfiguration
import org.bilberrycart.gateway.model.UpstreamEntry

/** Parses rows of the store. */
public interface RowReader {
    /** Returns the configuration that [row] holds, or null if it cannot be parsed. */
    public fun configuration(row: StoreRow): ServingConfiguration?

    /** Returns the upstream that [row] describes, or null if it cannot be parsed. */
    public fun upstream(row: StoreRow): UpstreamEntry?
}
