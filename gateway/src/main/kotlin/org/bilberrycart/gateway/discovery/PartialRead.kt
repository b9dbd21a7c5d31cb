package org.bilberrycart.gateway.discovery

import kotlinx.collections.immutable.PersistentMap

/**
 * The pages of a table that have been read while further ones are missing.
 *
 * @property version the version of the first page. Each page is as of a moment of its own, so that
 *   later changes of its rows are only found by following from here.
 */
public data class PartialRead(val rows: PersistentMap<String, StoreRow>, val version: StoreVersion)
