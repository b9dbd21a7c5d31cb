package org.bilberrycart.store

import kotlin.time.Duration

/**
 * A conditional write of one row.
 *
 * @property value the new value; null deletes the row.
 * @property expiresAfter how long the platform keeps the row; null keeps it until it is deleted.
 */
public data class RowWrite(
    val key: RowKey,
    val condition: Condition,
    val value: String?,
    val expiresAfter: Duration? = null,
)
