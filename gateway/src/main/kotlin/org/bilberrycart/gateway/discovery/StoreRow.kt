package org.bilberrycart.gateway.discovery

import org.bilberrycart.gateway.model.Body

/** A row of a table; [value] is null where the row was removed. */
public data class StoreRow(val key: String, val value: Body?, val version: StoreVersion)
