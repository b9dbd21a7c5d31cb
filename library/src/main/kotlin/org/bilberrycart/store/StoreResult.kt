package org.bilberrycart.store

import kotlinx.collections.immutable.PersistentList

/** The result of one call to the platform's tables, as it is returned to the user. */
public sealed class StoreResult {
    /** The group was applied; [version] is the new version of each of its rows. */
    public data class Applied(val version: Long) : StoreResult()

    /** A condition of the group does not hold and nothing was applied; [row] is the row found. */
    public data class Conflict(val key: RowKey, val row: Row?) : StoreResult()

    /** The [row] that was read; null if there is none. */
    public data class Found(val row: Row?) : StoreResult()

    /** The [rows] of a scan, in the order of their names. */
    public data class Listed(val rows: PersistentList<Row>) : StoreResult()

    /** The call failed; nothing was applied, and nothing will be. */
    public data class Unavailable(val failure: StoreFailure) : StoreResult()

    /** The write may have been applied, or may still be applied later. */
    public data class UnknownOutcome(val failure: StoreFailure) : StoreResult()
}
