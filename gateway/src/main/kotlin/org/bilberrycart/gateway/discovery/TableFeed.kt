package org.bilberrycart.gateway.discovery

import kotlin.time.Duration
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * How far a table of the store is followed.
 *
 * @property rows the rows as of [version], by key.
 * @property version up to where changes are known; null before the first whole reading.
 * @property partial rows of a reading that goes on with the next page.
 * @property failedAt when the store last failed to answer; null if it never did.
 * @property returnedAt when it first answered after a failure.
 * @property isFailing whether the last call failed.
 * @property askedAt when a peer was last asked for its copy.
 * @property lapsed when each row vanished that did so close to a failure.
 */
public data class TableFeed(
    val rows: PersistentMap<String, StoreRow> = persistentMapOf(),
    val version: Long? = null,
    val partial: PersistentMap<String, StoreRow> = persistentMapOf(),
    val failures: Int = 0,
    val returnedAt: Duration? = null,
    val askedAt: Duration? = null,
    val lapsed: PersistentMap<String, LapsedRow> = persistentMapOf(),
) {
    /** Whether the last call failed. */
    val isFailing: Boolean
        get() = failures > 0
}
