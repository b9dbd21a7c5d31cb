package org.bilberrycart.gateway.discovery

import org.bilberrycart.gateway.model.ServingConfiguration
import org.bilberrycart.gateway.model.UpstreamEntry

/** Reads what rows of the store mean; null for a row that can't be read. */
public interface RowReader {
    /** Returns the configuration that [row] holds. */
    public fun configuration(row: StoreRow): ServingConfiguration?

    /** Returns the upstream that [row] describes. */
    public fun upstream(row: StoreRow): UpstreamEntry?
}
